package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

type (
	// GateEffect is an action that the gate requests.
	GateEffect = ibisadmit.Effect
	// GateAdmitEffect sends a request to the backend server.
	GateAdmitEffect = ibisadmit.AdmitEffect
	// GateRefuseEffect is the final answer "not run" to a request.
	GateRefuseEffect = ibisadmit.RefuseEffect
	// GateDrainedEffect reports that no request is running or queued after a GateDrainEvent.
	GateDrainedEffect = ibisadmit.DrainedEffect
)
