// Package ibisnode assembles a node: the process that runs beside one backend server and routes requests to the owners of
// their keys.
//
// A node has four listeners, for callers, other nodes, operators and its backend server. It consists of the admission
// gate of the backend server (ibisgate), the request router (ibisrequestrouter), the node's part in membership and slot
// ownership (ibisowner), its copy of the coordination rows (ibisrowcache) and its copy of the configuration document
// (ibisdocsync).
// The router and ownership start once the backend server has announced itself. The command line and ibisembed run nodes.
package ibisnode
