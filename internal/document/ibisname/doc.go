// Package ibisname translates the names of keys between the naming schemes of a key space.
//
// A key space declares the fields of its keys and one or more schemes. A scheme is a template, such as "{ward}/{plot:06}",
// with optional code tables and a list of exceptions. Each name of a scheme parses to one canonical key, and each key has one
// name in every scheme. Translation is computed from the compiled schemes: no state is held for individual keys other than
// the listed exceptions.
//
// The document's compiler checks key spaces with Compile, which returns a Fault for every invalid value. The router uses the
// compiled Space to translate names into keys, SlotOf to assign a key to a slot, and a Selector to match keys by name, range
// or prefix.
package ibisname
