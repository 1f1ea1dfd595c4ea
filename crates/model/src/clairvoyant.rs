//! Estimate of what a clairvoyant schedule of a load reaches on the engines' cost model.
//!
//! The engines are taken together as one server whose time can be divided at will, and all arrivals
//! are known beforehand. Requests are admitted in the order of their worth for each unit of engine
//! time, as long as all admitted ones can be in time under the earliest-deadline-first rule; then
//! those left are admitted as late ones until their deadline. The server ignores passes, slots,
//! memory and the number of engines that share a prompt, so no dispatcher reaches the estimate;
//! greedy admission is not optimal, so it is no strict bound.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use policy::cast::{u64_to_f64, usize_to_f64};
use policy::dispatch::engine::EngineProfile;

use crate::load::LoadFile;
use crate::report::{RequestRecord, RequestResult};

/// A request as work for the server; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct ServerJob {
    /// Index of the record.
    record: usize,
    arrives_at: f64,
    due_at: f64,
    /// Engine time.
    work_ms: f64,
    /// Worth for each millisecond of engine time.
    density: f64,
}

/// A job that has arrived, ordered by its due time.
#[derive(Debug, PartialEq)]
struct ArrivedJob {
    due_at: f64,
    work_ms: f64,
}

impl Eq for ArrivedJob {}

impl PartialOrd for ArrivedJob {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ArrivedJob {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due_at.total_cmp(&other.due_at)
    }
}

/// The server: the engines of a load taken together.
struct JointServer {
    /// Engine time that passes in a millisecond.
    engines: f64,
    admitted: Vec<ServerJob>,
}

impl JointServer {
    /// Whether all admitted jobs and `more` can be done by their due times.
    fn can_admit(&self, more: &[ServerJob]) -> bool {
        let mut jobs: Vec<&ServerJob> = self.admitted.iter().chain(more).collect();
        jobs.sort_by(|left, right| left.arrives_at.total_cmp(&right.arrives_at));
        let mut waiting: BinaryHeap<Reverse<ArrivedJob>> = BinaryHeap::new();
        let mut now = 0.0;
        let mut next = 0;
        loop {
            if waiting.is_empty() {
                let Some(job) = jobs.get(next) else {
                    return true;
                };
                now = job.arrives_at.max(now);
            }
            while let Some(job) = jobs.get(next).filter(|job| job.arrives_at <= now) {
                waiting.push(Reverse(ArrivedJob {
                    due_at: job.due_at,
                    work_ms: job.work_ms,
                }));
                next += 1;
            }
            let until = jobs.get(next).map_or(f64::INFINITY, |job| job.arrives_at);
            let Some(Reverse(mut job)) = waiting.pop() else {
                continue;
            };
            let ends_at = now + job.work_ms / self.engines;
            if ends_at <= until {
                if ends_at > job.due_at {
                    return false;
                }
                now = ends_at;
                continue;
            }
            job.work_ms -= (until - now) * self.engines;
            now = until;
            waiting.push(Reverse(job));
        }
    }

    /// Admits as many of `jobs` as possible, the first ones first; returns the others.
    fn admit(&mut self, jobs: &[ServerJob]) -> Vec<ServerJob> {
        if self.can_admit(jobs) {
            self.admitted.extend_from_slice(jobs);
            return Vec::new();
        }
        if jobs.len() <= 1 {
            return jobs.to_vec();
        }
        let (first, second) = jobs.split_at(jobs.len() / 2);
        let mut left = self.admit(first);
        left.extend(self.admit(second));
        left
    }
}

/// Records of `records` as a clairvoyant schedule would leave them.
#[must_use]
pub fn clairvoyant(load: &LoadFile, records: &[RequestRecord]) -> Vec<RequestRecord> {
    let mut scheduled: Vec<RequestRecord> = records.to_vec();
    let job = |(index, record): (usize, &RequestRecord)| server_job(load, index, record);
    let mut jobs: Vec<ServerJob> = records.iter().enumerate().map(job).collect();
    jobs.sort_by(|left, right| right.density.total_cmp(&left.density));
    let mut server = JointServer {
        engines: usize_to_f64(load.engines.count),
        admitted: Vec::new(),
    };
    let mut late = server.admit(&jobs);
    for job in &mut late {
        let kind = &load.kinds[records[job.record].kind];
        job.due_at = job.arrives_at + u64_to_f64(kind.deadline);
    }
    let refused = server.admit(&late);
    for record in &mut scheduled {
        record.result = RequestResult::Served;
        record.first_event = 0.0;
        record.longest_pause = 0.0;
    }
    for job in late {
        let record = &mut scheduled[job.record];
        record.first_event = u64_to_f64(load.kinds[record.kind].first_event_aim) + 1.0;
    }
    for job in refused {
        scheduled[job.record].result = RequestResult::Refused;
    }
    scheduled
}

fn server_job(load: &LoadFile, index: usize, record: &RequestRecord) -> ServerJob {
    let kind = &load.kinds[record.kind];
    let work_ms = engine_time_ms(load, record);
    ServerJob {
        record: index,
        arrives_at: record.arrived_at,
        due_at: record.arrived_at + u64_to_f64(kind.first_event_aim),
        work_ms,
        density: record.weight(kind) * kind.worth / work_ms,
    }
}

/// Engine time of a request: its prefill, and its share of passes with all slots in use.
fn engine_time_ms(load: &LoadFile, record: &RequestRecord) -> f64 {
    let profile = EngineProfile::from(&load.engines);
    let slots = profile.slots.max(1);
    let shared_ms = profile.pass_ms(slots, 0) / usize_to_f64(slots);
    let context_ms = profile.pass_ms(1, record.prompt_tokens) - profile.pass_ms(1, 0);
    let event_ms = shared_ms + context_ms;
    profile.prefill_ms(record.prompt_tokens) + f64::from(record.events) * event_ms
}
