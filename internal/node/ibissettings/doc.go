// Package ibissettings reads and validates the settings of a node.
//
// Settings come from a JSON file; environment variables override the file, and flags override both. Validate reports all
// invalid fields at once. The commands that start nodes read the settings, and ibisnode runs a node from them.
package ibissettings
