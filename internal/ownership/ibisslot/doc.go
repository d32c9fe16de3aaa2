// Package ibisslot represents the assignment of slots and hot keys to members, and a node's copy of all assignments.
//
// A slot is a part of a service's key space: the hash of a key selects its slot. Each slot has an owner, a fencing
// token and up to two standbys. A hot key has an override, which assigns the key independently of its slot. A Page
// holds the assignments of consecutive slots and is stored as one row of the table; this package defines its binary
// format. A Map holds the latest version of every page that a node has received and answers which member owns a slot or
// a key. Package ibisplace plans assignments with pages and maps, ibiscoordinator and ibismove commit changes of pages, and
// ibisowner keeps the map of a node.
//
// A Map is not safe for concurrent use; its caller synchronizes access.
package ibisslot
