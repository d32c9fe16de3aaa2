// Package ibisset provides generic sets and optional values.
package ibisset
