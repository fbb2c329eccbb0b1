package table

// MaxEventTokens is more than one event holds. An engine for which no number is configured has this one, so that it is billed at the most.
const MaxEventTokens = 1 << 30
