package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

type (
	// KeySpace declares a set of keys and the naming schemes for them, as the document states them.
	KeySpace = ibisname.KeySpace
	// KeyField is one field of the keys of a key space.
	KeyField = ibisname.Field
	// KeyFieldType is the type of the values of a key's field.
	KeyFieldType = ibisname.FieldType
	// Scheme declares one way of naming the keys of a key space.
	Scheme = ibisname.Scheme
	// NameException assigns a name to one key in place of the name that the template produces.
	NameException = ibisname.NameException
	// NameSpace translates the names of one key space. It is immutable and holds no state for individual keys other than
	// the listed exceptions.
	NameSpace = ibisname.Space
	// Key is the canonical form of a key, "KEYSPACE:value/value", which is independent of any naming scheme.
	Key = ibisname.Key
	// KeySelector matches the keys of a space that are given by one name, a range of names or a prefix of names in a
	// scheme.
	KeySelector = ibisname.Selector
	// NameShape is one element of a pattern for strings; it matches exactly one byte, or one or more bytes, of a NameByteSet.
	NameShape = ibisname.Shape
	// NameByteSet is a set of bytes.
	NameByteSet = ibisname.ByteSet
	// NameFault describes one invalid value in the document.
	NameFault = ibisname.Fault
	// NameError reports that a string is not a name in a scheme.
	NameError = ibisname.NameError
)

const (
	// FieldInt is an unsigned decimal number.
	FieldInt = ibisname.FieldInt
	// FieldWord is a string of ASCII letters, digits and hyphens.
	FieldWord = ibisname.FieldWord
)

// CompileKeySpace checks a key space and compiles its schemes. It returns every fault; the returned space is nil if
// there are any faults.
func CompileKeySpace(name KeySpaceName, content KeySpace) (*NameSpace, []NameFault) {
	return ibisname.Compile(name, content)
}
