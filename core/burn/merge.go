package burn

import (
	"cmp"
	"slices"
)

// Merge adds up the counts of all instances. If targets differ, because a template change has not been applied by every
// instance yet, those of the latest report are used. If there are several reports of one instance, the latest is used.
// Instances without counts are listed as missing.
func Merge(reports []InstanceReport) Report {
	reports = slices.SortedStableFunc(slices.Values(reports), func(x, y InstanceReport) int {
		return cmp.Or(cmp.Compare(x.Missing, y.Missing), y.At.Compare(x.At), cmp.Compare(x.Instance, y.Instance))
	})
	merged := Report{Organisations: []Organisation{}}
	seen := map[string]bool{}
	for _, r := range reports {
		if seen[r.Instance] {
			continue
		}
		seen[r.Instance] = true
		merged.Instances = append(merged.Instances, InstanceStatus{Instance: r.Instance, Since: r.Since, At: r.At, Missing: r.Missing})
		if r.Missing != "" {
			continue
		}
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, o := range r.Organisations {
			merged.Organisations = addOrAppend(merged.Organisations, o, sameOrganisation, (*Organisation).add)
		}
	}
	slices.SortFunc(merged.Instances, func(x, y InstanceStatus) int { return cmp.Compare(x.Instance, y.Instance) })
	slices.SortFunc(merged.Organisations, func(x, y Organisation) int { return cmp.Compare(x.Organisation, y.Organisation) })
	for _, o := range merged.Organisations {
		for i := range o.Levels {
			o.Levels[i].evaluate()
		}
	}
	return merged
}

// addOrAppend adds item to the matching element of list, or appends it if no element matches.
func addOrAppend[T any](list []T, item T, same func(x, y T) bool, addTo func(to *T, item T)) []T {
	i := slices.IndexFunc(list, func(x T) bool { return same(x, item) })
	if i < 0 {
		var empty T
		list, i = append(list, empty), len(list)
	}
	addTo(&list[i], item)
	return list
}

func sameOrganisation(x, y Organisation) bool { return x.Organisation == y.Organisation }
func sameLevel(x, y Level) bool               { return x.Objective == y.Objective }
func sameWindow(x, y Window) bool             { return x.Window == y.Window }

func (o *Organisation) add(other Organisation) {
	o.Organisation = other.Organisation
	o.FirstToken = o.FirstToken.merged(other.FirstToken)
	o.TokenGap = o.TokenGap.merged(other.TokenGap)
	for _, l := range other.Levels {
		o.Levels = addOrAppend(o.Levels, l, sameLevel, (*Level).add)
	}
}

func (l *Level) add(other Level) {
	if l.Objective == "" {
		l.Objective, l.TargetRatio = other.Objective, other.TargetRatio
	}
	l.Series.add(other.Series)
	for _, w := range other.Windows {
		l.Windows = addOrAppend(l.Windows, w, sameWindow, (*Window).add)
	}
}

func (w *Window) add(other Window) {
	w.Window = other.Window
	w.Count = w.Count.plus(other.Count)
}

// add adds the counts of other to s, which comes from a later report. Steps of other outside the range of s are
// dropped, and a series with a different step length is ignored.
func (s *Series) add(other Series) {
	if len(s.Counts) == 0 {
		*s = Series{FromUnix: other.FromUnix, StepSeconds: other.StepSeconds, Counts: slices.Clone(other.Counts)}
		return
	}
	if s.StepSeconds != other.StepSeconds || s.StepSeconds == 0 {
		return
	}
	shift := (other.FromUnix - s.FromUnix) / s.StepSeconds
	for i, c := range other.Counts {
		if at := int64(i) + shift; at >= 0 && at < int64(len(s.Counts)) {
			s.Counts[at] = s.Counts[at].plus(c)
		}
	}
}
