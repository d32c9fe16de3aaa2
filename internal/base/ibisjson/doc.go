// Package ibisjson makes JSON texts of other writers safe to decode.
package ibisjson
