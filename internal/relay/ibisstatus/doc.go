// Package ibisstatus is what a relay's node tells its operators of itself, as one JSON answer beside its metrics.
package ibisstatus
