package events

// Events. 1xxx: the process; 2xxx: the platform and its streams; 3xxx: budgets;
// 4xxx: non-idempotent calls; 5xxx: targets and responses; 6xxx: operators and
// configuration; 7xxx: other instances; 9xxx: internal errors.
var (
	Start             = Event{1001, "start", Info, "The process starts."}
	SettingsLoaded    = Event{1002, "settings_loaded", Info, "The settings were read and checked."}
	Ready             = Event{1003, "ready", Info, "The instance accepts requests."}
	NotReady          = Event{1004, "not_ready", Warn, "The instance accepts no requests, because it has no usable copy of the configuration, the targets or the ledger, or cannot draw tokens."}
	StopBegan         = Event{1005, "stop_began", Info, "A graceful shutdown began; the instance no longer reports ready."}
	StopDone          = Event{1006, "stop_done", Info, "All requests in flight have ended and the allowances have been returned."}
	StopGaveUp        = Event{1007, "stop_gave_up", Error, "The graceful shutdown exceeded its time limit, was cut short or failed; the fields describe the work that was abandoned."}
	ListenFailed      = Event{1008, "listen_failed", Error, "Listening on an address failed."}
	Reloaded          = Event{1009, "settings_reloaded", Info, "The settings were reloaded; the fields describe what changed."}
	ReloadFailed      = Event{1010, "reload_failed", Error, "The reloaded settings are not valid; the previous settings stay in force."}
	LinesDropped      = Event{1011, "lines_dropped", Warn, "Log lines were dropped, because the log output did not accept them fast enough."}
	StateUnsent       = Event{1012, "state_unsent", Warn, "The response to an operator's request for the state of the process could not be sent."}
	SettingsIgnored   = Event{1013, "settings_ignored", Warn, "The settings have keys that this build does not know, for example those of a newer one; they are ignored. The field keys lists them."}
	LimitUnknown      = Event{1014, "limit_unknown", Warn, "The limit of open descriptors could not be read; the connections of callers are limited by the memory only."}
	LogUnreachable    = Event{2001, "log_unreachable", Warn, "The platform's log is unreachable, both directly and through other instances."}
	LogBack           = Event{2002, "log_back", Info, "The platform's log is directly reachable again."}
	RelayUsed         = Event{2003, "relay_used", Warn, "The platform's log is accessed through another instance."}
	ListUnreachable   = Event{2004, "list_unreachable", Warn, "The platform's list is unreachable."}
	ListBack          = Event{2005, "list_back", Info, "The platform's list is reachable again."}
	FormatUnknown     = Event{2006, "format_unknown", Error, "A record could not be applied, for example because this build does not support its format; its stream is no longer followed. The error states the cause."}
	KindUnknown       = Event{2008, "kind_unknown", Warn, "An item of an unknown kind was skipped."}
	Trimmed           = Event{2009, "trimmed", Warn, "Records that had not been read yet are no longer retained."}
	SnapshotWritten   = Event{2010, "snapshot_written", Info, "A snapshot of a stream was appended."}
	SnapshotLoaded    = Event{2011, "snapshot_loaded", Info, "The state of a stream was restored from a snapshot or from another instance."}
	StateFetched      = Event{2013, "state_fetched", Info, "The state of a stream was fetched from another instance."}
	SnapshotFailed    = Event{2014, "snapshot_failed", Warn, "A snapshot of a stream could not be written; it will be retried later."}
	TopicLost         = Event{2015, "topic_lost", Warn, "A topic of the platform's log cannot be accessed; the records read last stay in force."}
	TopicBack         = Event{2016, "topic_back", Info, "A topic of the platform's log can be read again."}
	RecordUnreadable  = Event{2017, "record_unreadable", Warn, "A record of the platform's log could not be decoded and is ignored. It is logged once until its reason changes."}
	LogRestored       = Event{2018, "log_restored", Warn, "The platform's log was restored from an older copy and began a new era; everything is read from it again, and the draws that it may lack count as granted."}
	EraInvalid        = Event{2019, "era_invalid", Warn, "A reply of the platform's log showed no valid era and was not used. It is logged once."}
	StateMissing      = Event{2020, "state_missing", Warn, "Records of a stream that had not been read are no longer retained, and no state to continue from was found in the log or at another instance; or a newer state of another instance can't be used. It is tried again. The error states the causes."}
	DrawGranted       = Event{3001, "draw_granted", Debug, "A draw on a budget was granted."}
	DrawRefused       = Event{3002, "draw_refused", Info, "A draw on a budget was refused; the field cause states the reason."}
	AllowanceReturned = Event{3003, "allowance_returned", Info, "Unused allowance was returned to its budget."}
	AllowanceLent     = Event{3004, "allowance_lent", Debug, "Allowance was lent to another instance."}
	DoubleCharge      = Event{3007, "double_charge_suppressed", Info, "A request was charged again; only tokens beyond its earlier charges were added to its bill."}
	TopUpAccepted     = Event{3008, "top_up_accepted", Info, "A top-up was added to a budget."}
	BudgetExhausted   = Event{3009, "budget_exhausted", Info, "A request was refused, because its budget does not cover it."}
	HoldingChanged    = Event{3010, "holding_changed", Info, "Tokens of a budget were drawn or returned; the fields state how many and whether the log accepted the record."}
	HoldingUnsettled  = Event{3011, "holding_unsettled", Warn, "It can no longer be determined whether the log accepted a batch of draws and returns; its tokens are not spent."}
	PromiseTaken      = Event{3012, "promise_taken", Info, "Tokens that an earlier process of this instance held and provably did not spend were taken over."}
	PromiseLapsed     = Event{3013, "promise_lapsed", Warn, "Tokens that an earlier process of this instance held may have been spent and count as spent, because its machine was rebooted or it was down for too long."}
	PromisesOff       = Event{3014, "promises_off", Warn, "The boot of the machine cannot be identified, so the tokens that this process holds cannot be taken over if it is killed."}
	TokensBorrowed    = Event{3015, "tokens_borrowed", Debug, "Other instances were asked for tokens that a request needed and the log could not provide; the fields state how many they lent and how many are still missing."}
	TransferLost      = Event{3016, "transfer_lost", Warn, "Tokens that this instance repaid to another one count as spent, because the transfer was not answered."}
	BudgetState       = Event{3017, "budget_state", Info, "What this instance knows of a budget that it uses, every 10 s while it changes: what was paid and granted to all instances, what the instance holds (free, promised, reserved), and what its process has billed."}
	ClaimWon          = Event{4001, "claim_won", Debug, "This instance holds the claim of a non-idempotent call and may dispatch it."}
	ClaimLost         = Event{4002, "claim_lost", Info, "Another instance holds the claim of a non-idempotent call."}
	ClaimVoided       = Event{4003, "claim_voided", Info, "A claim was voided before dispatch."}
	OutcomeUnknown    = Event{4004, "outcome_unknown", Warn, "A non-idempotent call was dispatched, but its outcome is unknown."}
	TargetLeaving     = Event{5002, "target_leaving", Info, "A target is leaving and receives no new requests."}
	TargetSilent      = Event{5003, "target_silent", Warn, "A target sent no data within the configured time."}
	StreamResumed     = Event{5006, "stream_resumed", Info, "A response was resumed after its stream was interrupted."}
	StreamCut         = Event{5007, "stream_cut", Warn, "The stream of a response was interrupted and could not be resumed."}
	FrameForeign      = Event{5008, "frame_foreign", Error, "A frame of another request, attempt or position was dropped and its stream was closed."}
	AttemptFailed     = Event{5009, "attempt_failed", Info, "An attempt at a target failed."}
	RequestEnded      = Event{5010, "request_ended", Info, "A request ended; the fields state its outcome and the reason."}
	TargetJoined      = Event{5011, "target_joined", Info, "A target is listed and accepts requests."}
	TargetRemoved     = Event{5012, "target_removed", Info, "A target is no longer listed and receives no requests."}
	TargetInvalid     = Event{5013, "target_invalid", Warn, "The entry of a target could not be decoded and is handled as a removal of the target. It is logged once until it is valid or its reason changes."}
	TargetPaused      = Event{5014, "target_paused", Info, "A target rejected a request and asked for a pause; it receives no requests from this instance until the pause ends."}
	HeaderIgnored     = Event{5015, "header_ignored", Warn, "A malformed header in a target's response was ignored. It is logged once for each start of a target."}
	TargetCrashed     = Event{5016, "target_crashed", Warn, "A target ended while a request was at it; the fields name the request and its trait, the shared parts of its prompt, how many events it had sent, the length of the series of crashes, and whether it was a probe."}
	Quarantined       = Event{5017, "quarantined", Error, "Requests with something in common crashed targets one after the other; they are not sent any more, except for a probe from time to time. The field part is the part of the prompts that they have in common; without it they have the same content."}
	Released          = Event{5018, "released", Info, "A request was answered that has what quarantined requests have in common; they are sent again."}
	ReportsDelayed    = Event{5019, "crash_reports_delayed", Warn, "Reports of crashed targets could not be published to the other instances; they are published again, unless the error states that they were dropped."}
	RateLimitNamed    = Event{5020, "rate_limit_named", Info, "A target names a limit on the rate of requests from all instances together, or another one than before; the field per_second states it."}
	RateLimitEnded    = Event{5021, "rate_limit_ended", Info, "A target no longer names a limit on the rate of requests."}
	RatesDelayed      = Event{5022, "rate_limits_delayed", Warn, "Rate limits of targets could not be published to the other instances; they are published again, unless the error states that they were dropped."}
	AbandonedCrashed  = Event{5023, "abandoned_target_crashed", Warn, "A target ended soon after a request at it was abandoned, because the caller disconnected or the request timed out; the request may have crashed it."}
	VersionsChanged   = Event{5024, "versions_changed", Info, "How the streams of a service are known has changed: with mode open all began at the version in the field software; with mode mixed those without a record did; with mode recorded those without a record can't be resumed, and streams may begin before they are recorded at those in the field versions."}
	OriginsDelayed    = Event{5025, "origins_delayed", Warn, "The software versions of streams or services could not be read from the log or recorded in it; the calls are repeated."}
	PathLost          = Event{5026, "path_lost", Warn, "This instance can't connect to any target of a service; it sends requests by way of other instances that can."}
	PathBack          = Event{5027, "path_back", Info, "This instance connects to targets of a service again."}
	TargetBrittle     = Event{5028, "target_brittle", Info, "A target announces that it falls over when it has to turn away more requests a second than the field per_second states; all instances together send it no more than it can run."}
	AnswerEnded       = Event{5029, "answer_ended_early", Warn, "A request ended without a whole answer after its head was sent or a target may have run it. The field by states who ended it: caller, deadline, target (with the kind of the failure) or process; left is the time to its time limit, since_head the time since its head, config the version of the configuration in force and config_age the time since that was applied."}
	ZoneEvacuated     = Event{5030, "zone_evacuated", Info, "An order to evacuate a zone is in force at this instance; targets in the zone get no new request."}
	ZoneRestored      = Event{5031, "zone_restored", Info, "The order to evacuate a zone was taken back; targets in the zone get requests again."}
	ConfApplied       = Event{6001, "configuration_applied", Info, "A configuration change is in force at this instance."}
	ConfRefused       = Event{6002, "configuration_refused", Info, "A configuration change was refused."}
	OperatorRefused   = Event{6004, "operator_refused", Warn, "A request with a missing or wrong operator key was refused."}
	ConfUnconfirmed   = Event{6005, "configuration_unconfirmed", Warn, "The configuration has not been confirmed recently; a newer one may be in force at other instances."}
	ConfConfirmed     = Event{6006, "configuration_confirmed", Info, "The configuration is again confirmed to be the newest."}
	ConfOutdated      = Event{6007, "configuration_outdated", Warn, "A configuration was ignored, because its version is lower than that of the one in force. It is logged once until another one is read."}
	OperatorFailed    = Event{6008, "operator_failed", Error, "A request of an operator failed for an internal reason, which the error states."}
	ConfFinding       = Event{6009, "configuration_finding", Warn, "An entry of the configuration that came into force is wrong, contradictory or without effect. At most 20 lines are logged for each version; the field further of the last one is the number of findings that are not."}
	PeerUnreachable   = Event{7001, "peer_unreachable", Warn, "Another instance is unreachable."}
	PeerBack          = Event{7002, "peer_back", Info, "Another instance is reachable again."}
	Overspend         = Event{9002, "overspend", Error, "An invariant of a budget was violated, for example more tokens were spent or held than were paid for; the error states which."}
	FoldDiffers       = Event{9004, "fold_differs", Error, "Another instance folded the same ledger records to a different result."}
	Panic             = Event{9003, "panic_recovered", Error, "A handler or an actor panicked, or an actor did not respond in time; the field reason states the cause. After a failure of an actor the process exits, because the state of the actor may be inconsistent."}
)

// All lists every event in ascending order.
func All() []Event {
	return []Event{
		Start, SettingsLoaded, Ready, NotReady, StopBegan, StopDone,
		StopGaveUp, ListenFailed, Reloaded, ReloadFailed, LinesDropped, StateUnsent, SettingsIgnored, LimitUnknown,
		LogUnreachable, LogBack, RelayUsed, ListUnreachable, ListBack, FormatUnknown,
		KindUnknown, Trimmed, SnapshotWritten, SnapshotLoaded,
		StateFetched, SnapshotFailed, TopicLost, TopicBack, RecordUnreadable, LogRestored, EraInvalid, StateMissing,
		DrawGranted, DrawRefused, AllowanceReturned, AllowanceLent,
		DoubleCharge, TopUpAccepted, BudgetExhausted, HoldingChanged, HoldingUnsettled, PromiseTaken, PromiseLapsed, PromisesOff, TokensBorrowed, TransferLost, BudgetState,
		ClaimWon, ClaimLost, ClaimVoided, OutcomeUnknown,
		TargetLeaving, TargetSilent, StreamResumed,
		StreamCut, FrameForeign, AttemptFailed, RequestEnded, TargetJoined, TargetRemoved, TargetInvalid, TargetPaused, HeaderIgnored, TargetCrashed, Quarantined, Released, ReportsDelayed, RateLimitNamed, RateLimitEnded, RatesDelayed, AbandonedCrashed, VersionsChanged, OriginsDelayed, PathLost, PathBack, TargetBrittle, AnswerEnded, ZoneEvacuated, ZoneRestored,
		ConfApplied, ConfRefused, OperatorRefused, ConfUnconfirmed, ConfConfirmed, ConfOutdated, OperatorFailed, ConfFinding,
		PeerUnreachable, PeerBack,
		Overspend, Panic, FoldDiffers,
	}
}
