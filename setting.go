package sycamoretiller

//go:generate enumer -type=Setting -trimprefix=Setting -transform=snake

// Setting is a number that operators set for the whole fleet or by exception.
type Setting int

// The settings; the suffix gives the unit.
const (
	SettingCallTimeoutMs Setting = iota
	SettingAttempts
	SettingRetryBudgetPercent
	SettingQueueLength
	SettingQueueTimeoutMs
	SettingMaxRequestBytes
	SettingMaxAnswerBytes
	SettingDrainSeconds
	SettingSlowStartMs
	SettingEjectAfterFailures
	SettingEjectMs
	SettingMaxEjectedPercent
	SettingQuarantineStrikes
	SettingQuarantineSeconds
	SettingTrafficPercent
	SettingMaxHeaderBytes
	SettingHeaderTimeoutMs
	SettingIdleTimeoutMs
)

// SettingRange describes a setting: its bounds, its default value, its unit and its meaning.
type SettingRange struct {
	minimum      int64
	maximum      int64
	defaultValue int64
	unit         string
	meaning      string
}

// Minimum returns the smallest allowed value.
func (r SettingRange) Minimum() int64 { return r.minimum }

// Maximum returns the largest allowed value.
func (r SettingRange) Maximum() int64 { return r.maximum }

// Default returns the value that applies where the document states none.
func (r SettingRange) Default() int64 { return r.defaultValue }

// Unit returns the unit as shown to operators.
func (r SettingRange) Unit() string { return r.unit }

// Meaning returns a one-line description for operators.
func (r SettingRange) Meaning() string { return r.meaning }

var settingRanges = map[Setting]SettingRange{
	SettingCallTimeoutMs:      {10, 600_000, 2000, "ms", "time for a whole call where the caller states no deadline"},
	SettingAttempts:           {1, 5, 3, "attempts", "most attempts of one call at one node, the first included"},
	SettingRetryBudgetPercent: {0, 100, 10, "%", "retries of a node to a service per hundred calls to it"},
	SettingQueueLength:        {0, 10_000, 32, "calls", "calls that may wait for a slot of one worker"},
	SettingQueueTimeoutMs:     {0, 60_000, 500, "ms", "longest wait for a slot"},
	SettingMaxRequestBytes:    {0, 1 << 40, 1 << 20, "bytes", "largest request body"},
	SettingMaxAnswerBytes:     {1024, 1 << 40, 64 << 20, "bytes", "largest answer body"},
	SettingDrainSeconds:       {1, 600, 30, "s", "time for calls in flight when a worker leaves; the node's own drain_ms bounds it"},
	SettingSlowStartMs:        {0, 600_000, 10_000, "ms", "time over which a cold worker reaches its full share"},
	SettingEjectAfterFailures: {1, 1000, 5, "failures", "failures in a row before a worker is ejected"},
	SettingEjectMs:            {100, 600_000, 5000, "ms", "time that a worker stays ejected"},
	SettingMaxEjectedPercent:  {0, 50, 30, "%", "largest share of a service's workers that may be ejected"},
	SettingQuarantineStrikes:  {1, 10, 2, "crashes", "crashes after which a request is refused"},
	SettingQuarantineSeconds:  {1, 86_400, 600, "s", "time that a request stays refused"},
	SettingTrafficPercent:     {0, 100, 100, "%", "share of its fair load that a worker receives"},
	SettingMaxHeaderBytes:     {512, 1 << 20, 64 << 10, "bytes", "largest request line with headers"},
	SettingHeaderTimeoutMs:    {10, 600_000, 5000, "ms", "time that a caller has for the headers of one request"},
	SettingIdleTimeoutMs:      {10, 3_600_000, 60_000, "ms", "time that a caller's connection stays open without a request"},
}

// Range returns the bounds and the description of a setting.
func (i Setting) Range() SettingRange { return settingRanges[i] }
