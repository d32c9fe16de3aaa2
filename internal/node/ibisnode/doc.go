// Package ibisnode assembles a node: the process that runs beside one backend server and routes requests to the owners of
// their keys.
//
// A node has four listeners, for callers, other nodes, operators and its backend server. It consists of the admission
// gate of the backend server (ibisgate), the request router (ibisdoor), the node's part in membership and slot ownership
// (ibisowner), its copy of the coordination rows (ibisrows) and its copy of the configuration document (ibisdocument).
// The router and ownership start once the backend server has announced itself. The command line and ibisembed run nodes.
package ibisnode
