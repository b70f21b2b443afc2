//! Weighs the ends of engines as evidence against what ran there.

use super::suspects::Suspect;
use super::{EngineEnd, QuarantineTracker};
use crate::fingerprints::Fingerprint;
use crate::units::Millis;

impl QuarantineTracker {
    /// Returns how many engines must have ended under a request to quarantine it.
    ///
    /// Where engines end without the request more than half as often as under it, the request may only have
    /// run alongside the cause. All recent ends since the first one under the request are compared.
    pub fn needed_ends(&self, request: Fingerprint, now: Millis) -> usize {
        let own = self.ends(request, now);
        let since = own.iter().map(|end| end.at).min().unwrap_or(now);
        let is_own = |end: &EngineEnd| own.iter().any(|one| one.engine == end.engine);
        let others = self.ended.iter().filter(|end| end.at >= since && !is_own(end)).count();
        if others * 2 > own.len() { self.options.ends_among_others } else { self.options.ends }
    }

    /// Returns how much evidence there is against a suspect, in engine ends that nothing else explains.
    pub fn evidence(&self, suspect: Fingerprint, now: Millis) -> usize {
        self.suspect(suspect, now).map_or(0, |_| self.weight(suspect, None))
    }

    /// Returns the evidence against a suspect. `newest` is the engine that has just ended, whose end may not be
    /// recorded against all that ran there yet.
    pub(super) fn weight(&self, suspect: Fingerprint, newest: Option<u32>) -> usize {
        match self.suspects.get(&suspect) {
            None => 0,
            Some(own) if suspect.is_part() => self.weight_of_part(own, newest),
            Some(own) => self.weight_of_request(own, newest),
        }
    }

    /// Returns the evidence against a request. A quarantined part explains the ends at which the request only ran
    /// alongside it, unless the request ran at all of them.
    fn weight_of_request(&self, own: &Suspect, newest: Option<u32>) -> usize {
        let parts = self.quarantined().filter(|(suspect, _)| suspect.is_part());
        let parts = parts.map(|(_, part)| part);
        let causes: Vec<_> = parts.filter(|part| !own.is_as_suspect_as(part, newest)).collect();
        let is_explained =
            |end: &&EngineEnd| causes.iter().any(|cause| cause.ended_under(end.engine));
        own.ends.iter().filter(|end| !is_explained(end)).count()
    }

    /// Returns the evidence against a part.
    ///
    /// A single request that ended engines accuses its parts as well, which other requests share. So all ends under
    /// one quarantined request count once, and there is no evidence if one request ran at all the engines that ended
    /// under the part.
    fn weight_of_part(&self, own: &Suspect, newest: Option<u32>) -> usize {
        let mut requests = self.suspects.iter().filter(|(suspect, _)| !suspect.is_part());
        if requests.any(|(_, request)| request.is_as_suspect_as(own, newest)) {
            return 0;
        }
        let causes = self.quarantined().filter(|(suspect, _)| !suspect.is_part());
        let causes: Vec<_> = causes.map(|(_, request)| request).collect();
        let is_explained =
            |end: &&EngineEnd| causes.iter().any(|cause| cause.ended_under(end.engine));
        let explained = own.ends.iter().filter(is_explained).count();
        let explaining =
            causes.iter().filter(|cause| own.ends.iter().any(|end| cause.ended_under(end.engine)));
        own.ends.len() - explained + explaining.count().min(explained)
    }

    pub(super) fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let quarantined = self.suspects.iter().filter(|(_, one)| one.quarantined_by.is_some());
        quarantined.map(|(suspect, one)| (*suspect, one))
    }

    /// Removes the ends that a quarantined suspect explains from all other suspects of its kind. `newest` is the engine
    /// that has just ended.
    ///
    /// Otherwise a request that only ran alongside a quarantined one at several engines would be quarantined
    /// next. A part that ran at all of these engines is as likely to be the cause as a quarantined part. A request
    /// explains no ends for parts: several requests may end engines because of the part that they share.
    pub(super) fn explain_away(&mut self, newest: u32) {
        let quarantined: Vec<_> =
            self.quarantined().map(|(cause, suspect)| (cause, suspect.clone())).collect();
        if quarantined.is_empty() {
            return;
        }
        self.suspects.retain(|fingerprint, suspect| {
            if suspect.quarantined_by.is_none() {
                let is_part = fingerprint.is_part();
                let may_explain = |(cause, of): &&(Fingerprint, Suspect)| {
                    cause.is_part() == is_part
                        && !(is_part && suspect.is_as_suspect_as(of, Some(newest)))
                };
                let causes: Vec<_> = quarantined.iter().filter(may_explain).collect();
                suspect.ends.retain(|end| !causes.iter().any(|(_, one)| one.explains(end, newest)));
            }
            !suspect.ends.is_empty()
        });
    }

    /// Ends the quarantine of requests that only ran alongside a part that is quarantined now.
    pub(super) fn reconsider_requests(&mut self) {
        let requests = self.quarantined().filter(|(suspect, _)| !suspect.is_part());
        let is_explained = |(_, request): &(Fingerprint, &Suspect)| {
            self.weight_of_request(request, None) < self.options.ends
        };
        let explained: Vec<_> = requests.filter(is_explained).map(|(request, _)| request).collect();
        for request in explained {
            self.suspects.entry(request).and_modify(|request| request.quarantined_by = None);
        }
    }

    /// Ends the quarantine of parts whose ends a request alone explains. Updates arrive in any order, so the part may
    /// have been quarantined before the ends of the request were known.
    pub(super) fn reconsider_parts(&mut self, request: Fingerprint) {
        let Some(own) = self.suspects.get(&request).cloned() else { return };
        let parts = self.suspects.iter_mut().filter(|(one, _)| one.is_part());
        for (_, part) in parts.filter(|(_, part)| own.is_as_suspect_as(part, None)) {
            part.quarantined_by = None;
        }
    }
}
