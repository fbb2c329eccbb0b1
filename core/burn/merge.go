package burn

import (
	"cmp"
	"slices"
)

// Merge adds up the counts of instances. Targets that differ, while a change of a
// template spreads, are taken from the latest report; of two reports of one instance
// the latest counts. Instances without counts are listed as missing.
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
		merged.Instances = append(merged.Instances, InstanceSeen{Instance: r.Instance, Since: r.Since, At: r.At, Missing: r.Missing})
		if r.Missing != "" {
			continue
		}
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, o := range r.Organisations {
			merged.Organisations = add(merged.Organisations, o, sameOrganisation, (*Organisation).add)
		}
	}
	slices.SortFunc(merged.Instances, func(x, y InstanceSeen) int { return cmp.Compare(x.Instance, y.Instance) })
	slices.SortFunc(merged.Organisations, func(x, y Organisation) int { return cmp.Compare(x.Organisation, y.Organisation) })
	for _, o := range merged.Organisations {
		for i := range o.Levels {
			o.Levels[i].judge()
		}
	}
	return merged
}

// add adds item to its like in list, or appends it to list when there is none.
func add[T any](list []T, item T, same func(x, y T) bool, plus func(to *T, item T)) []T {
	i := slices.IndexFunc(list, func(x T) bool { return same(x, item) })
	if i < 0 {
		var empty T
		list, i = append(list, empty), len(list)
	}
	plus(&list[i], item)
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
		o.Levels = add(o.Levels, l, sameLevel, (*Level).add)
	}
}

func (l *Level) add(other Level) {
	if l.Objective == "" {
		l.Objective, l.TargetRatio = other.Objective, other.TargetRatio
	}
	l.Series.add(other.Series)
	for _, w := range other.Windows {
		l.Windows = add(l.Windows, w, sameWindow, (*Window).add)
	}
}

func (w *Window) add(other Window) {
	w.Window = other.Window
	w.Count = w.Count.plus(other.Count)
}

// add adds the steps of other that begin with or after those of s, which come from a
// later report; a series of other steps is left out.
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
