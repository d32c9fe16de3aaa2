// Package ibisdoc defines the document, the configuration that operators write and all nodes share. It validates the sections
// and compiles them into the form that nodes use to match routes, authenticate accounts and place keys.
//
// A section is named KIND or KIND/NAME, such as "topology" or "routes/orders", and is owned by one team. The document
// consists of all sections together and is valid only as a whole. A fault is one reason why it is not valid.
package ibisdoc
