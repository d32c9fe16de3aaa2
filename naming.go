package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

type (
	// KeySpace is a set of keys and the schemes that name them.
	KeySpace = ibisname.KeySpace
	// KeyField is one field of the keys of a key space.
	KeyField = ibisname.Field
	// KeyFieldType is the type of a field of a key.
	KeyFieldType = ibisname.FieldType
	// Scheme is one way of naming the keys of a key space.
	Scheme = ibisname.Scheme
	// NameException is a name of a scheme for a key that the template would spell otherwise.
	NameException = ibisname.NameException
	// NameSpace translates the names of one key space; it is immutable and holds nothing for any key but the listed exceptions.
	NameSpace = ibisname.Space
	// Key is the canonical text of a key, "KEYSPACE:value/value", which is the same for every spelling.
	Key = ibisname.Key
	// KeySelector picks the keys of a space that one name, a range of names or a prefix of names in a scheme stands for.
	KeySelector = ibisname.Selector
	// NameShape is one step of the form of a text: a byte of the set, once or more often.
	NameShape = ibisname.Shape
	// NameByteSet is a set of bytes.
	NameByteSet = ibisname.ByteSet
	// NameFault is one reason why a part of the document is not valid.
	NameFault = ibisname.Fault
	// NameError reports a text that is not a valid name in a naming scheme.
	NameError = ibisname.NameError
)

const (
	// FieldInt is an unsigned decimal number.
	FieldInt = ibisname.FieldInt
	// FieldWord is a text of letters, digits and hyphens.
	FieldWord = ibisname.FieldWord
)

// CompileKeySpace checks a key space and compiles its schemes; every fault is returned, and the space is nil where there is one.
func CompileKeySpace(name KeySpaceName, content KeySpace) (*NameSpace, []NameFault) {
	return ibisname.Compile(name, content)
}
