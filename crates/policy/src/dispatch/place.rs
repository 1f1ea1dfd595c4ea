//! Finds a place for a request: one engine, or several that share the reading of its prompt.
//!
//! Reading does not slow down beside writing, but stops it: every request that is writing on an
//! engine pauses for as long as a pass reads. Hence a part is only put where the pauses of the
//! requests that write there stay within their aims; requests with tight aims are gathered on few
//! engines; and a long prompt is split so that its parts are short, or go where nothing tight
//! writes.

use super::endpoint::BoardEndpoint;
use super::engine::EngineProfile;
use super::limits::DispatchLimits;
use super::reading::{EngineWork, PartOutlook, ReadingShare};
use super::work::{AskReach, WorkAsk};
use crate::figure::{count_float, to_float, to_whole};
use crate::ids::{DomainId, Millis};

/// Numbers of engines among which a prompt is split.
const SPLITS: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 14, 17];

/// How strictly the pauses of others are kept.
#[derives::tag]
pub(super) enum PlaceCare {
    /// All pause aims are kept.
    Strict,
    /// The ask has waited long: it may make others' pauses longer than their aims.
    Relaxed,
}

/// An engine that reads a part of a prompt.
#[derive(Debug, Clone)]
pub(super) struct HelperPlan {
    /// Its index.
    pub(super) index: usize,
    /// Tokens of its memory to be reserved.
    pub(super) reserved_tokens: u64,
}

/// A place for a request.
#[derive(Debug, Clone)]
pub(super) struct PlacePlan {
    /// Index of the engine that writes the answer.
    pub(super) host: usize,
    /// The engines that read parts of the prompt besides; those with reserved memory first.
    pub(super) helpers: Vec<HelperPlan>,
    /// Tokens of the host's memory that the request may come to use.
    pub(super) host_tokens: u64,
    /// Reading time of one part at normal pace, in milliseconds.
    pub(super) part_ms: f64,
    /// Time until the first event, in milliseconds.
    pub(super) first_ms: f64,
    /// Moment by which the parts should have been read, in milliseconds.
    pub(super) due: f64,
}

/// An engine that could take part, and the figures that decide it.
struct PlaceCandidate<'a> {
    index: usize,
    endpoint: &'a BoardEndpoint,
    pace: f64,
    /// What would become of the whole prompt if it is added now.
    alone: PartOutlook,
    /// What would become of a part that is added now.
    part: PartOutlook,
    /// Reading time that those who write here allow now.
    room_ms: f64,
    /// Time of a pass once all that is hosted here writes.
    pass_ms: f64,
    /// How many requests with tight pause aims are hosted here.
    tight: usize,
    /// Tokens of memory that are free.
    free_tokens: u64,
}

impl PlaceCandidate<'_> {
    fn outlook(&self, share: ReadingShare) -> &PartOutlook {
        match share {
            ReadingShare::Alone => &self.alone,
            ReadingShare::Part => &self.part,
        }
    }

    fn part_end(&self, share: ReadingShare, part_ms: f64) -> f64 {
        self.outlook(share).starts_ms + part_ms * self.pace
    }

    fn fits(&self, share: ReadingShare, part_ms: f64) -> bool {
        part_ms * self.pace <= self.room_ms.min(self.outlook(share).slack_ms)
    }

    /// Whether a run may write here whose events should come every `pause_ms`. On an engine that
    /// only reads, its part goes ahead of what is pending; that is read in one pass with the run's
    /// second event.
    fn can_write(&self, share: ReadingShare, pause_ms: f64) -> bool {
        let leaves_pending = share == ReadingShare::Part && self.part.work == EngineWork::Reading;
        !leaves_pending || self.part.pending_ms + self.pass_ms <= pause_ms
    }
}

/// Tokens of memory lost at most to rounding on each engine that holds a part of a prompt.
const ROUNDING_TOKENS: u64 = 64;

/// An engine with its cost for a part.
type CostedCandidate<'a, 'b> = (f64, &'b PlaceCandidate<'a>);

/// Engines chosen for a request, helpers with the tokens to be reserved on them.
struct ChosenEngines<'a, 'b> {
    host: CostedCandidate<'a, 'b>,
    helpers: Vec<(CostedCandidate<'a, 'b>, u64)>,
    host_tokens: u64,
}

impl ChosenEngines<'_, '_> {
    /// Time from the end of the slowest part to the end of the host's pass, in milliseconds: half a
    /// pass if a helper is the slowest.
    fn host_wait(&self, slowest: f64, part_ms: f64) -> f64 {
        let host = self.host.1;
        let share = ReadingShare::among(self.helpers.len() + 1);
        if host.part_end(share, part_ms) >= slowest {
            return 0.0;
        }
        host.pass_ms / 2.0
    }
}

/// Looks for places on the engines of one pool.
pub(super) struct PlaceSearch<'a> {
    pub(super) profile: &'a EngineProfile,
    pub(super) limits: &'a DispatchLimits,
    pub(super) endpoints: &'a [BoardEndpoint],
    pub(super) now: Millis,
}

impl PlaceSearch<'_> {
    /// The best place for `ask`, if it has any now.
    pub(super) fn plan(&self, ask: &WorkAsk, care: PlaceCare) -> Option<PlacePlan> {
        let candidates = self.candidates(ask, care);
        let read_ms = self.profile.read_ms(ask.prompt_tokens);
        let mut best: Option<(f64, PlacePlan)> = None;
        for split in SPLITS {
            let part_ms = read_ms / count_float(split);
            let is_too_many = split > candidates.len() || split > self.limits.most_splits;
            if split > 1 && (part_ms < self.limits.shortest_part_ms || is_too_many) {
                break;
            }
            let Some((cost, plan)) = self.plan_split(ask, &candidates, split, part_ms) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// Engines that can be used at all: ready, not set aside and within reach.
    pub(super) fn usable(&self, ask: &WorkAsk) -> Vec<usize> {
        let is_open = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.is_ready() && !ask.excluded.contains(&endpoint.facts.place.endpoint)
        };
        let open: Vec<usize> = (0..self.endpoints.len()).filter(is_open).collect();
        let sound = self.without_aside(&open);
        let AskReach::Domain(domain) = &ask.reach else {
            return sound;
        };
        let is_near = |index: &usize| self.endpoints[*index].facts.domain == *domain;
        let near: Vec<usize> = sound.iter().copied().filter(is_near).collect();
        if near.is_empty() { sound } else { near }
    }

    /// Leaves out what is set aside, unless that is everything.
    fn without_aside(&self, open: &[usize]) -> Vec<usize> {
        let is_sound = |index: &usize| !self.endpoints[*index].health.is_aside(self.now);
        let sound: Vec<usize> = open.iter().copied().filter(is_sound).collect();
        if sound.is_empty() {
            return open.to_vec();
        }
        sound
    }

    fn candidates(&self, ask: &WorkAsk, care: PlaceCare) -> Vec<PlaceCandidate<'_>> {
        let usable = self.usable(ask);
        usable
            .into_iter()
            .map(|index| self.candidate(index, ask, care))
            .collect()
    }

    fn candidate(&self, index: usize, ask: &WorkAsk, care: PlaceCare) -> PlaceCandidate<'_> {
        let endpoint = &self.endpoints[index];
        let pass_ms = endpoint.pass_ms(self.profile, self.now);
        let outlook = |share| {
            let mut outlook = endpoint.outlook(self.profile, share, self.now);
            if outlook.work == EngineWork::Reading && pass_ms > 0.0 {
                // What is hosted here may begin to write before the part has been read.
                outlook.starts_ms = outlook.pending_ms + pass_ms;
            }
            outlook
        };
        let (alone, part) = (outlook(ReadingShare::Alone), outlook(ReadingShare::Part));
        let total = to_float(self.profile.memory_tokens) * self.limits.memory_share;
        PlaceCandidate {
            index,
            endpoint,
            pace: endpoint.health.pace(self.now),
            room_ms: self.room_ms(endpoint, ask, pass_ms + part.beside_ms, care),
            alone,
            part,
            pass_ms,
            tight: endpoint.tight_hosted(self.limits),
            free_tokens: to_whole(total).saturating_sub(endpoint.memory_used()),
        }
    }

    /// Reading time that may be added to a pass of `pass_ms`, in milliseconds.
    fn room_ms(
        &self,
        endpoint: &BoardEndpoint,
        ask: &WorkAsk,
        pass_ms: f64,
        care: PlaceCare,
    ) -> f64 {
        let limits = self.limits;
        let is_tight_ask = ask.pause_aim <= limits.tight_pause;
        if is_tight_ask && care == PlaceCare::Relaxed {
            return f64::INFINITY;
        }
        let Some(pause) = endpoint.tightest_pause() else {
            return f64::INFINITY;
        };
        let slack = match care {
            PlaceCare::Relaxed if pause > limits.tight_pause => limits.relaxed_pause,
            PlaceCare::Relaxed | PlaceCare::Strict => 1.0,
        };
        to_float(pause) * limits.pause_share * slack - pass_ms
    }

    /// Moment by which the prompt of `ask` should have been read if its first event is expected in
    /// `first_ms`, in milliseconds.
    fn due(&self, ask: &WorkAsk, first_ms: f64) -> f64 {
        let limits = self.limits;
        let aim_left = to_float(ask.first_event_aim.saturating_sub(ask.waited));
        let planned = first_ms + limits.most_delay_ms;
        to_float(self.now) + planned.max(aim_left * limits.due_share)
    }

    fn plan_split(
        &self,
        ask: &WorkAsk,
        candidates: &[PlaceCandidate<'_>],
        split: usize,
        part_ms: f64,
    ) -> Option<(f64, PlacePlan)> {
        let share = ReadingShare::among(split);
        let cost = |candidate: &PlaceCandidate<'_>| {
            let delays_ms = candidate.outlook(share).pending_ms * self.limits.delay_weight;
            candidate.part_end(share, part_ms) + self.penalty(ask, candidate) + delays_ms
        };
        let mut fitting: Vec<CostedCandidate<'_, '_>> = candidates
            .iter()
            .filter(|candidate| candidate.fits(share, part_ms))
            .map(|candidate| (cost(candidate), candidate))
            .collect();
        fitting.sort_by(|left, right| left.0.total_cmp(&right.0));
        let tokens = ask.prompt_tokens + ask.output_tokens;
        let chosen = self.choose_whole(ask, &fitting, split, tokens);
        let chosen = chosen.or_else(|| self.choose_reserved(ask, &fitting, split, tokens))?;
        let all = std::iter::once(&chosen.host).chain(chosen.helpers.iter().map(|(one, _)| one));
        let slowest = all
            .clone()
            .map(|(_, candidate)| candidate.part_end(share, part_ms))
            .fold(0.0, f64::max);
        let dearest = all.map(|entry| entry.0).fold(0.0, f64::max);
        let helpers = chosen.helpers.iter();
        let first_ms = slowest + chosen.host_wait(slowest, part_ms);
        let plan = PlacePlan {
            host: chosen.host.1.index,
            helpers: helpers
                .map(|((_, candidate), reserved_tokens)| HelperPlan {
                    index: candidate.index,
                    reserved_tokens: *reserved_tokens,
                })
                .collect(),
            host_tokens: chosen.host_tokens,
            part_ms,
            first_ms,
            due: self.due(ask, first_ms),
        };
        let helpers_ms = self.limits.helper_ms * count_float(split - 1);
        let cost = dearest + helpers_ms + self.far_ms(ask, chosen.host.1);
        Some((cost, plan))
    }

    fn can_host(&self, ask: &WorkAsk, candidate: &PlaceCandidate<'_>, split: usize) -> bool {
        let pause_ms = to_float(ask.pause_aim) * self.limits.pause_share;
        candidate.endpoint.hosted.len() < self.profile.slots
            && candidate.can_write(ReadingShare::among(split), pause_ms)
    }

    fn can_help(&self, candidate: &PlaceCandidate<'_>) -> bool {
        candidate.endpoint.helped.len() < self.profile.slots
    }

    /// The cheapest engines of which the host holds all of the request's memory.
    fn choose_whole<'a, 'b>(
        &self,
        ask: &WorkAsk,
        fitting: &[CostedCandidate<'a, 'b>],
        split: usize,
        tokens: u64,
    ) -> Option<ChosenEngines<'a, 'b>> {
        let is_host = |entry: &&CostedCandidate<'_, '_>| {
            self.can_host(ask, entry.1, split) && entry.1.free_tokens >= tokens
        };
        let hosting_cost = |entry: &CostedCandidate<'_, '_>| {
            let is_opened = split > 1 && entry.1.endpoint.hosted.is_empty();
            let open_ms = if is_opened {
                self.limits.host_open_ms
            } else {
                0.0
            };
            entry.0 + open_ms + self.far_ms(ask, entry.1)
        };
        let host = *fitting
            .iter()
            .filter(is_host)
            .min_by(|left, right| hosting_cost(left).total_cmp(&hosting_cost(right)))?;
        let helpers: Vec<(CostedCandidate<'a, 'b>, u64)> = fitting
            .iter()
            .filter(|entry| entry.1.index != host.1.index && self.can_help(entry.1))
            .take(split - 1)
            .map(|entry| (*entry, 0))
            .collect();
        (helpers.len() == split - 1).then_some(ChosenEngines {
            host,
            helpers,
            host_tokens: tokens,
        })
    }

    /// Engines that hold the request's memory together: those with the most free memory, then the
    /// cheapest.
    fn choose_reserved<'a, 'b>(
        &self,
        ask: &WorkAsk,
        fitting: &[CostedCandidate<'a, 'b>],
        split: usize,
        tokens: u64,
    ) -> Option<ChosenEngines<'a, 'b>> {
        let mut by_memory: Vec<CostedCandidate<'a, 'b>> = fitting.to_vec();
        by_memory.sort_by_key(|entry| std::cmp::Reverse(entry.1.free_tokens));
        let host_at = by_memory
            .iter()
            .position(|entry| self.can_host(ask, entry.1, split) && entry.1.tight == 0)?;
        let host = by_memory.remove(host_at);
        let mut left = tokens + ROUNDING_TOKENS;
        let host_tokens = left.min(host.1.free_tokens);
        left -= host_tokens;
        let mut helpers: Vec<(CostedCandidate<'a, 'b>, u64)> = Vec::new();
        for entry in by_memory {
            if left == 0 || helpers.len() == split - 1 {
                break;
            }
            if !self.can_help(entry.1) || entry.1.free_tokens <= ROUNDING_TOKENS {
                continue;
            }
            let reserved = (left + ROUNDING_TOKENS).min(entry.1.free_tokens);
            left = left.saturating_sub(reserved - ROUNDING_TOKENS);
            helpers.push((entry, reserved));
        }
        if left > 0 {
            return None;
        }
        for entry in fitting {
            let is_used = entry.1.index == host.1.index
                || helpers
                    .iter()
                    .any(|(used, _)| used.1.index == entry.1.index);
            if helpers.len() < split - 1 && !is_used && self.can_help(entry.1) {
                helpers.push((*entry, 0));
            }
        }
        (helpers.len() == split - 1).then_some(ChosenEngines {
            host,
            helpers,
            host_tokens,
        })
    }

    /// What it costs that an answer crosses failure domains, in milliseconds.
    fn far_ms(&self, ask: &WorkAsk, host: &PlaceCandidate<'_>) -> f64 {
        let is_far = |home: &DomainId| *home != host.endpoint.facts.domain;
        if ask.home.as_ref().is_some_and(is_far) {
            return self.limits.far_ms;
        }
        0.0
    }

    /// What a part of `ask` on an engine costs beyond its time, in milliseconds.
    fn penalty(&self, ask: &WorkAsk, candidate: &PlaceCandidate<'_>) -> f64 {
        let limits = self.limits;
        if ask.pause_aim > limits.tight_pause {
            return if candidate.tight > 0 {
                limits.beside_ms
            } else {
                0.0
            };
        }
        if candidate.tight == 0 {
            return limits.open_ms;
        }
        if candidate.tight < limits.packed_writers {
            let vacant = count_float(limits.packed_writers - candidate.tight);
            return limits.gather_ms * vacant / count_float(limits.packed_writers);
        }
        let over = (candidate.tight + 1).saturating_sub(limits.packed_writers);
        count_float(over) * limits.open_ms / 4.0
    }
}
