package codes

import "net/http"

// Result codes. 1xxx: the request itself; 2xxx: budgets; 3xxx: targets and
// answers; 4xxx: non-idempotent calls; 5xxx: the instance and the platform;
// 6xxx: operators.
var (
	BadRequest       = Code{1001, "bad_request", http.StatusBadRequest, "The request could not be parsed or a field is out of range."}
	BadKey           = Code{1002, "bad_key", http.StatusUnauthorized, "The key is missing or belongs to no organisation."}
	BodyTooLarge     = Code{1003, "body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than the configured limit."}
	NotAllowed       = Code{1004, "not_allowed", http.StatusForbidden, "The organisation may not reach this model, version or service."}
	UnknownModel     = Code{1005, "unknown_model", http.StatusNotFound, "No template offers this model or version to the organisation."}
	UnknownRoute     = Code{1006, "unknown_route", http.StatusNotFound, "The path or method is not served."}
	TooManyInFlight  = Code{1007, "too_many_in_flight", http.StatusTooManyRequests, "The organisation has as many requests in flight as its template allows."}
	BodyTimeout      = Code{1008, "body_timeout", http.StatusRequestTimeout, "The body did not arrive within the configured time."}
	RequestIDActive  = Code{1010, "request_id_active", http.StatusConflict, "An earlier attempt with this request id has not ended yet at this instance."}
	BudgetExhausted  = Code{2001, "budget_exhausted", http.StatusPaymentRequired, "The budget does not cover the most that this request may use."}
	BudgetUnknown    = Code{2002, "budget_unknown", http.StatusPaymentRequired, "The organisation has no budget of this name."}
	BudgetElsewhere  = Code{2003, "budget_elsewhere", http.StatusServiceUnavailable, "The rest of the budget is held by other instances and could not be obtained in time."}
	LedgerStale      = Code{2004, "ledger_stale", http.StatusServiceUnavailable, "The instance has no usable copy of the ledger yet."}
	NoTarget         = Code{3001, "no_target", http.StatusServiceUnavailable, "No live target serves the model, version or service."}
	Overloaded       = Code{3002, "overloaded", http.StatusTooManyRequests, "Every suitable target is at its limit."}
	TargetFailed     = Code{3003, "target_failed", http.StatusBadGateway, "The target failed or its answer was not valid."}
	TargetSilent     = Code{3004, "target_silent", http.StatusGatewayTimeout, "The target sent nothing within the configured time."}
	AnswerCut        = Code{3005, "answer_cut", http.StatusBadGateway, "The answer broke off before its final frame and could not be resumed."}
	CrashesTargets   = Code{3006, "crashes_targets", http.StatusServiceUnavailable, "Requests like this one have crashed targets, and it was not sent."}
	OriginUnknown    = Code{3007, "origin_unknown", http.StatusServiceUnavailable, "The software version that began the stream is not known, and the stream was not resumed."}
	OriginUnrecorded = Code{3008, "origin_unrecorded", http.StatusGatewayTimeout, "The software version that began the stream was not recorded before the deadline, and no event was forwarded."}
	OutcomeUnknown   = Code{4001, "outcome_unknown", http.StatusBadGateway, "The call may have run; its outcome is not known."}
	KeyReused        = Code{4002, "idempotency_key_reused", http.StatusUnprocessableEntity, "The idempotency key was used before with another request."}
	ClaimLost        = Code{4003, "claim_lost", http.StatusConflict, "Another instance holds the claim for this idempotency key."}
	ClaimUnavailable = Code{4004, "claim_unavailable", http.StatusServiceUnavailable, "The claim could not be recorded in the platform's log."}
	KeyMissing       = Code{4005, "idempotency_key_missing", http.StatusBadRequest, "The call needs an idempotency key."}
	ClaimVoided      = Code{4006, "claim_voided", http.StatusConflict, "The claim was voided before dispatch; use a new idempotency key."}
	AnswerNotKept    = Code{4007, "answer_not_kept", http.StatusGone, "The call ran once, but its answer is no longer kept."}
	Internal         = Code{5001, "internal", http.StatusInternalServerError, "An unexpected failure inside the instance."}
	Stopping         = Code{5002, "stopping", http.StatusServiceUnavailable, "The instance is stopping and takes no new requests."}
	NotReady         = Code{5003, "not_ready", http.StatusServiceUnavailable, "The instance has not yet read the configuration."}
	LogUnavailable   = Code{5004, "log_unavailable", http.StatusServiceUnavailable, "The platform's log could not be reached."}
	LinkFull         = Code{5005, "link_full", http.StatusServiceUnavailable, "The network link of the instance is full."}
	VersionConflict  = Code{6001, "version_conflict", http.StatusConflict, "The template was changed since the version that this publish is based on."}
	BadTemplate      = Code{6002, "bad_template", http.StatusUnprocessableEntity, "The template is not valid."}
	BadOperatorKey   = Code{6003, "bad_operator_key", http.StatusUnauthorized, "The operator key is missing or wrong."}
	TopUpReused      = Code{6004, "top_up_reused", http.StatusConflict, "The top-up id was used before with another amount or budget."}
	AcceptTimeout    = Code{6005, "accept_timeout", http.StatusGatewayTimeout, "The record was not read back from the log in time; it may still be accepted."}
	UnlistedBudget   = Code{6006, "unlisted_budget", http.StatusNotFound, "No template in force at this instance lists the budget."}
)

// All lists every code in ascending order.
func All() []Code {
	return []Code{
		BadRequest, BadKey, BodyTooLarge, NotAllowed, UnknownModel, UnknownRoute, TooManyInFlight,
		BodyTimeout, RequestIDActive,
		BudgetExhausted, BudgetUnknown, BudgetElsewhere, LedgerStale,
		NoTarget, Overloaded, TargetFailed, TargetSilent, AnswerCut, CrashesTargets, OriginUnknown, OriginUnrecorded,
		OutcomeUnknown, KeyReused, ClaimLost, ClaimUnavailable, KeyMissing, ClaimVoided, AnswerNotKept,
		Internal, Stopping, NotReady, LogUnavailable, LinkFull,
		VersionConflict, BadTemplate, BadOperatorKey, TopUpReused, AcceptTimeout, UnlistedBudget,
	}
}
