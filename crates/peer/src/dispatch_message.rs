//! Asks and verdicts between the generated codec's types and the plain data of the decisions.

use std::net::SocketAddr;

use capnp::Error;
use peer_schema::dispatch_capnp as schema;
use policy::dispatch::placement::{
    EndpointTarget, HelperGrant, InFlightEndpoint, InFlightRun, PlacementDecision, PlacementGrant,
    PlacementRequest, PlacementScope, RunOutcome, RunPhase, RunReport,
};
use policy::ids::{AccountId, DomainId, EndpointId, PoolId};
use policy::outcome::{Refusal, RefusalReason, RetryReason};
use policy::poison::Fingerprint;

use crate::message::list_length;

/// What became of a granted run.
#[derives::value]
pub enum RunNote {
    /// Its first event has come.
    FirstEvent(u64),
    /// It has ended, or its ask is not wanted any more.
    Finished(u64, RunReport),
}

pub(crate) fn write_work(
    mut form: schema::work::Builder<'_>,
    work: &PlacementRequest,
) -> Result<(), Error> {
    form.set_pool(work.pool.as_str());
    form.set_account(work.account.as_str());
    form.set_domain(match &work.scope {
        PlacementScope::Fleet => "",
        PlacementScope::Domain(domain) => domain.as_str(),
    });
    form.set_prompt_tokens(work.prompt_tokens);
    form.set_output_tokens(work.output_tokens);
    form.set_waited(work.waited);
    form.set_first_event_aim(work.first_event_aim);
    form.set_pause_aim(work.pause_aim);
    form.set_time_left(work.time_left);
    form.set_retry(work.retry.map_or("", RetryReason::code));
    form.set_fingerprint(work.fingerprint.0);
    write_names(
        form.init_excluded(list_length(work.excluded.len())?),
        &work.excluded,
    );
    Ok(())
}

pub(crate) fn read_work(form: schema::work::Reader<'_>) -> Result<PlacementRequest, Error> {
    let domain = form.get_domain()?.to_str()?;
    let retry = form.get_retry()?.to_str()?;
    Ok(PlacementRequest {
        pool: PoolId::new(form.get_pool()?.to_str()?),
        account: AccountId::new(form.get_account()?.to_str()?),
        scope: if domain.is_empty() {
            PlacementScope::Fleet
        } else {
            PlacementScope::Domain(DomainId::new(domain))
        },
        prompt_tokens: form.get_prompt_tokens(),
        output_tokens: form.get_output_tokens(),
        waited: form.get_waited(),
        first_event_aim: form.get_first_event_aim(),
        pause_aim: form.get_pause_aim(),
        time_left: form.get_time_left(),
        retry: RetryReason::from_code(retry),
        excluded: read_names(form.get_excluded()?)?,
        // The steward knows it of the instance that asks.
        caller_domain: None,
        fingerprint: Fingerprint(form.get_fingerprint()),
    })
}

fn write_names(mut list: capnp::text_list::Builder<'_>, names: &[EndpointId]) {
    for (index, name) in (0..list.len()).zip(names) {
        list.set(index, name.as_str());
    }
}

fn read_names(list: capnp::text_list::Reader<'_>) -> Result<Vec<EndpointId>, Error> {
    list.iter()
        .map(|name| Ok(EndpointId::new(name?.to_str()?)))
        .collect()
}

fn write_place(mut form: schema::place::Builder<'_>, place: &EndpointTarget) {
    form.set_endpoint(place.endpoint.as_str());
    form.set_address(place.address.to_string());
}

fn read_place(form: schema::place::Reader<'_>) -> Result<EndpointTarget, Error> {
    let address = form.get_address()?.to_str()?;
    Ok(EndpointTarget {
        endpoint: EndpointId::new(form.get_endpoint()?.to_str()?),
        address: read_address(address)?,
    })
}

fn read_helper(form: schema::helper::Reader<'_>) -> Result<HelperGrant, Error> {
    Ok(HelperGrant {
        target: read_place(form.get_place()?)?,
        reserved_tokens: form.get_reserved_tokens(),
    })
}

fn read_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::failed(format!("{text:?} is no address")))
}

pub(crate) fn write_verdict(
    form: schema::verdict::Builder<'_>,
    verdict: &PlacementDecision,
) -> Result<(), Error> {
    match verdict {
        PlacementDecision::Granted(grant) => {
            let mut granted = form.init_granted();
            write_place(granted.reborrow().init_host(), &grant.host);
            granted.set_expected_first(grant.expected_first);
            let mut helpers = granted.init_helpers(list_length(grant.helpers.len())?);
            for (index, helper) in (0..helpers.len()).zip(&grant.helpers) {
                let mut form = helpers.reborrow().get(index);
                form.set_reserved_tokens(helper.reserved_tokens);
                write_place(form.init_place(), &helper.target);
            }
        }
        PlacementDecision::Refused(refusal) => {
            let mut refused = form.init_refused();
            refused.set_reason(refusal.reason.code());
            refused.set_retry_after(refusal.retry_after);
        }
    }
    Ok(())
}

pub(crate) fn read_verdict(form: schema::verdict::Reader<'_>) -> Result<PlacementDecision, Error> {
    match form.which()? {
        schema::verdict::Granted(granted) => {
            let helpers = granted.get_helpers()?.iter().map(read_helper);
            Ok(PlacementDecision::Granted(PlacementGrant {
                host: read_place(granted.get_host()?)?,
                helpers: helpers.collect::<Result<_, Error>>()?,
                expected_first: granted.get_expected_first(),
            }))
        }
        schema::verdict::Refused(refused) => {
            let code = refused.get_reason()?.to_str()?;
            let reason = RefusalReason::from_code(code)
                .ok_or_else(|| Error::failed(format!("{code:?} is no reason")))?;
            Ok(PlacementDecision::Refused(Refusal::new(
                reason,
                refused.get_retry_after(),
            )))
        }
    }
}

pub(crate) fn write_note(mut form: schema::note::Builder<'_>, note: &RunNote) {
    match note {
        RunNote::FirstEvent(ask) => {
            form.set_ask(*ask);
            form.set_first_event(());
        }
        RunNote::Finished(ask, report) => {
            form.set_ask(*ask);
            let mut finished = form.init_finished();
            finished.set_end(report.outcome.into_form());
            let fault_at = report.at_fault.map(|address| address.to_string());
            finished.set_fault_at(fault_at.as_deref().unwrap_or(""));
        }
    }
}

pub(crate) fn read_note(form: schema::note::Reader<'_>) -> Result<RunNote, Error> {
    let ask = form.get_ask();
    match form.which()? {
        schema::note::FirstEvent(()) => Ok(RunNote::FirstEvent(ask)),
        schema::note::Finished(finished) => {
            let fault_at = finished.get_fault_at()?.to_str()?;
            let at_fault = if fault_at.is_empty() {
                None
            } else {
                Some(read_address(fault_at)?)
            };
            let end = RunOutcome::from_form(finished.get_end()?);
            let report = RunReport::new(end).with_fault_at(at_fault);
            Ok(RunNote::Finished(ask, report))
        }
    }
}

pub(crate) fn write_held(
    mut form: schema::held::Builder<'_>,
    held: &InFlightRun,
) -> Result<(), Error> {
    form.set_ask(held.number);
    form.set_writing(held.phase == RunPhase::Decode);
    write_work(form.reborrow().init_work(), &held.request)?;
    let mut places = form.init_places(list_length(held.endpoints.len())?);
    for (index, place) in (0..places.len()).zip(&held.endpoints) {
        let mut form = places.reborrow().get(index);
        form.set_endpoint(place.endpoint.as_str());
        form.set_reserved_tokens(place.reserved_tokens);
    }
    Ok(())
}

fn read_held_place(form: schema::held_place::Reader<'_>) -> Result<InFlightEndpoint, Error> {
    Ok(InFlightEndpoint {
        endpoint: EndpointId::new(form.get_endpoint()?.to_str()?),
        reserved_tokens: form.get_reserved_tokens(),
    })
}

pub(crate) fn read_held(form: schema::held::Reader<'_>) -> Result<InFlightRun, Error> {
    Ok(InFlightRun {
        number: form.get_ask(),
        request: read_work(form.get_work()?)?,
        endpoints: form
            .get_places()?
            .iter()
            .map(read_held_place)
            .collect::<Result<_, Error>>()?,
        phase: if form.get_writing() {
            RunPhase::Decode
        } else {
            RunPhase::Prefill
        },
    })
}

/// A run's end as the codec has it.
trait EndForm: Sized {
    fn into_form(self) -> schema::End;
    fn from_form(form: schema::End) -> Self;
}

impl EndForm for RunOutcome {
    fn into_form(self) -> schema::End {
        match self {
            Self::Served => schema::End::Served,
            Self::CallerLeft => schema::End::CallerLeft,
            Self::NotConnected => schema::End::NotConnected,
            Self::Refused => schema::End::Refused,
            Self::Broken => schema::End::Broken,
            Self::Silent => schema::End::Silent,
            Self::Failed => schema::End::Failed,
        }
    }

    fn from_form(form: schema::End) -> Self {
        match form {
            schema::End::Served => Self::Served,
            schema::End::CallerLeft => Self::CallerLeft,
            schema::End::NotConnected => Self::NotConnected,
            schema::End::Refused => Self::Refused,
            schema::End::Broken => Self::Broken,
            schema::End::Silent => Self::Silent,
            schema::End::Failed => Self::Failed,
        }
    }
}
