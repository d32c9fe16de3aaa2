// Package ibisadmission controls admission to the backend server of its own instance.
//
// Every request to that server passes through its Guard, whichever node received the request. Only the Guard has the exact
// numbers of running and waiting requests, so it alone decides admission; the load that other nodes assume is an estimate.
// The decisions come from ibisadmit (admission) and ibisrange (ownership of keys); this package applies them.
//
// Lock order: Guard.mu is acquired last and is never held while a request is sent.
package ibisadmission
