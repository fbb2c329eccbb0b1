package events

// Events. 1xxx: the process; 2xxx: the platform and its streams; 3xxx: budgets;
// 4xxx: non-idempotent calls; 5xxx: targets and answers; 6xxx: operators and
// configuration; 7xxx: other instances; 9xxx: faults of the program itself.
var (
	Start             = Event{1001, "start", Info, "The process starts."}
	SettingsLoaded    = Event{1002, "settings_loaded", Info, "The settings were read and checked."}
	Ready             = Event{1003, "ready", Info, "The instance takes requests."}
	NotReady          = Event{1004, "not_ready", Warn, "The instance takes no requests, because it has no usable copy of the configuration, the targets or the ledger, or can't draw tokens."}
	StopBegan         = Event{1005, "stop_began", Info, "A graceful shutdown began and readiness is withdrawn."}
	StopDone          = Event{1006, "stop_done", Info, "Every request in flight ended and the allowances are returned."}
	StopGaveUp        = Event{1007, "stop_gave_up", Error, "The shutdown ran out of time or was told to hurry; the fields say what is given up."}
	ListenFailed      = Event{1008, "listen_failed", Error, "An address could not be listened on."}
	Reloaded          = Event{1009, "settings_reloaded", Info, "The settings were read again; the fields say what changed."}
	ReloadFailed      = Event{1010, "reload_failed", Error, "The settings that were read again are not valid; those from before stay in force."}
	LinesDropped      = Event{1011, "lines_dropped", Warn, "Lines of the log were dropped, because they were not taken fast enough."}
	StateUnsent       = Event{1012, "state_unsent", Warn, "An operator asked for the state of the process and could not be answered."}
	LogUnreachable    = Event{2001, "log_unreachable", Warn, "The platform's log can't be reached, neither directly nor through another instance."}
	LogBack           = Event{2002, "log_back", Info, "The platform's log is reached again."}
	RelayUsed         = Event{2003, "relay_used", Warn, "The platform's log is reached through another instance."}
	ListUnreachable   = Event{2004, "list_unreachable", Warn, "The platform's list can't be reached."}
	ListBack          = Event{2005, "list_back", Info, "The platform's list is reached again."}
	FormatUnknown     = Event{2006, "format_unknown", Error, "A record has a format that this build can't read, and its stream is no longer followed."}
	KindUnknown       = Event{2008, "kind_unknown", Warn, "An item of an unknown kind was skipped."}
	Trimmed           = Event{2009, "trimmed", Warn, "Records that were still to be read are no longer kept."}
	SnapshotWritten   = Event{2010, "snapshot_written", Info, "A snapshot of a stream was appended."}
	SnapshotLoaded    = Event{2011, "snapshot_loaded", Info, "The state of a stream was loaded from a snapshot."}
	StateFetched      = Event{2013, "state_fetched", Info, "The state of a stream was loaded from another instance."}
	SnapshotFailed    = Event{2014, "snapshot_failed", Warn, "A snapshot of a stream could not be written; it is due again later."}
	TopicLost         = Event{2015, "topic_lost", Warn, "A topic of the platform's log can't be read; what was read last stays in force."}
	TopicBack         = Event{2016, "topic_back", Info, "A topic of the platform's log is read again."}
	RecordUnreadable  = Event{2017, "record_unreadable", Warn, "A record of the platform's log can't be read and changes nothing."}
	DrawGranted       = Event{3001, "draw_granted", Debug, "A draw on a budget was granted."}
	DrawRefused       = Event{3002, "draw_refused", Info, "A draw on a budget was refused, because it does not fit."}
	AllowanceReturned = Event{3003, "allowance_returned", Info, "Unused allowance was returned to its budget."}
	AllowanceLent     = Event{3004, "allowance_lent", Debug, "Allowance was lent to another instance."}
	DoubleCharge      = Event{3007, "double_charge_suppressed", Info, "A second charge for one request was dropped."}
	TopUpAccepted     = Event{3008, "top_up_accepted", Info, "A top-up was added to a budget."}
	BudgetExhausted   = Event{3009, "budget_exhausted", Info, "A request was refused, because the budget does not cover it."}
	HoldingChanged    = Event{3010, "holding_changed", Info, "Tokens of a budget were drawn or given back; the fields say how many and whether the log took it."}
	HoldingUnsettled  = Event{3011, "holding_unsettled", Warn, "Whether the log took a draw can't be known any more; its tokens are not spent."}
	PromiseTaken      = Event{3012, "promise_taken", Info, "Tokens that an earlier process of this instance held and certainly did not spend were taken over."}
	PromiseLapsed     = Event{3013, "promise_lapsed", Warn, "Tokens that an earlier process of this instance held may have been spent and stay so, because its machine was started anew or it was away for too long."}
	PromisesOff       = Event{3014, "promises_off", Warn, "The boot of the machine can't be told, so that what this process holds can't be taken over if it is killed."}
	ClaimWon          = Event{4001, "claim_won", Debug, "This instance holds the claim of a non-idempotent call and may dispatch it."}
	ClaimLost         = Event{4002, "claim_lost", Info, "Another instance holds the claim of a non-idempotent call."}
	ClaimVoided       = Event{4003, "claim_voided", Info, "A claim was voided before dispatch."}
	OutcomeUnknown    = Event{4004, "outcome_unknown", Warn, "A non-idempotent call was dispatched and its outcome is not known."}
	TargetLeaving     = Event{5002, "target_leaving", Info, "A target is leaving and gets no new work."}
	TargetSilent      = Event{5003, "target_silent", Warn, "A target sent nothing within the configured time."}
	StreamResumed     = Event{5006, "stream_resumed", Info, "An answer was resumed after its stream broke off."}
	StreamCut         = Event{5007, "stream_cut", Warn, "An answer broke off and could not be resumed."}
	FrameForeign      = Event{5008, "frame_foreign", Error, "A frame of another request, attempt or position was dropped and its stream cut off."}
	AttemptFailed     = Event{5009, "attempt_failed", Info, "An attempt at a target failed."}
	RequestEnded      = Event{5010, "request_ended", Info, "A request ended; the fields say how, and what decided it."}
	TargetJoined      = Event{5011, "target_joined", Info, "A target is listed and takes work."}
	TargetRemoved     = Event{5012, "target_removed", Info, "A target is no longer listed and gets no work."}
	TargetInvalid     = Event{5013, "target_invalid", Warn, "The entry of a target can't be read; it names no target."}
	ConfApplied       = Event{6001, "configuration_applied", Info, "A change of the configuration is in force at this instance."}
	ConfRefused       = Event{6002, "configuration_refused", Info, "A change of the configuration was refused."}
	OperatorRefused   = Event{6004, "operator_refused", Warn, "A request with a missing or wrong operator key was refused."}
	ConfUnconfirmed   = Event{6005, "configuration_unconfirmed", Warn, "The configuration could not be confirmed for a while; a newer one may be in force elsewhere."}
	ConfConfirmed     = Event{6006, "configuration_confirmed", Info, "The configuration is confirmed as the newest again."}
	PeerUnreachable   = Event{7001, "peer_unreachable", Warn, "Another instance can't be reached."}
	PeerBack          = Event{7002, "peer_back", Info, "Another instance is reached again."}
	Overspend         = Event{9002, "overspend", Error, "More was spent or granted than the budget holds."}
	FoldDiffers       = Event{9004, "fold_differs", Error, "Another instance has folded the same records of a ledger to another result."}
	Panic             = Event{9003, "panic_recovered", Error, "A panic was recovered while a request was served."}
)

// All lists every event in ascending order.
func All() []Event {
	return []Event{
		Start, SettingsLoaded, Ready, NotReady, StopBegan, StopDone,
		StopGaveUp, ListenFailed, Reloaded, ReloadFailed, LinesDropped, StateUnsent,
		LogUnreachable, LogBack, RelayUsed, ListUnreachable, ListBack, FormatUnknown,
		KindUnknown, Trimmed, SnapshotWritten, SnapshotLoaded,
		StateFetched, SnapshotFailed, TopicLost, TopicBack, RecordUnreadable,
		DrawGranted, DrawRefused, AllowanceReturned, AllowanceLent,
		DoubleCharge, TopUpAccepted, BudgetExhausted, HoldingChanged, HoldingUnsettled, PromiseTaken, PromiseLapsed, PromisesOff,
		ClaimWon, ClaimLost, ClaimVoided, OutcomeUnknown,
		TargetLeaving, TargetSilent, StreamResumed,
		StreamCut, FrameForeign, AttemptFailed, RequestEnded, TargetJoined, TargetRemoved, TargetInvalid,
		ConfApplied, ConfRefused, OperatorRefused, ConfUnconfirmed, ConfConfirmed,
		PeerUnreachable, PeerBack,
		Overspend, Panic, FoldDiffers,
	}
}
