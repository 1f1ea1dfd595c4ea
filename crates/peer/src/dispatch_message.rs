//! Conversions between the Cap'n Proto types of `dispatch.capnp` and the types of
//! `policy::dispatch`.

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
use policy::rate_limit::{RateNotice, RequestRate};

use crate::message::list_length;

/// Progress or end of a granted run, identified by the number of its placement request.
#[derives::value]
pub enum RunUpdate {
    /// The first event of the answer arrived.
    FirstEvent(u64),
    /// The run ended, or its placement request was withdrawn.
    Finished(u64, RunReport),
    /// An endpoint has named a limit on its requests, or no longer names one.
    Limit(RateNotice),
    /// An endpoint says in its answers that it leaves.
    Leaving(EndpointId),
}

pub(crate) fn write_placement_request(
    mut builder: schema::work::Builder<'_>,
    request: &PlacementRequest,
) -> Result<(), Error> {
    builder.set_pool(request.pool.as_str());
    builder.set_account(request.account.as_str());
    builder.set_domain(match &request.scope {
        PlacementScope::Fleet => "",
        PlacementScope::Domain(domain) => domain.as_str(),
    });
    builder.set_prompt_tokens(request.prompt_tokens);
    builder.set_output_tokens(request.output_tokens);
    builder.set_waited(request.waited);
    builder.set_first_event_aim(request.first_event_aim);
    builder.set_pause_aim(request.pause_aim);
    builder.set_time_left(request.time_left);
    builder.set_retry(request.retry.map_or("", RetryReason::code));
    builder.set_fingerprint(request.fingerprint.0);
    write_names(
        builder.init_excluded(list_length(request.excluded.len())?),
        &request.excluded,
    );
    Ok(())
}

pub(crate) fn read_placement_request(
    reader: schema::work::Reader<'_>,
) -> Result<PlacementRequest, Error> {
    let domain = reader.get_domain()?.to_str()?;
    let retry = reader.get_retry()?.to_str()?;
    Ok(PlacementRequest {
        pool: PoolId::new(reader.get_pool()?.to_str()?),
        account: AccountId::new(reader.get_account()?.to_str()?),
        scope: if domain.is_empty() {
            PlacementScope::Fleet
        } else {
            PlacementScope::Domain(DomainId::new(domain))
        },
        prompt_tokens: reader.get_prompt_tokens(),
        output_tokens: reader.get_output_tokens(),
        waited: reader.get_waited(),
        first_event_aim: reader.get_first_event_aim(),
        pause_aim: reader.get_pause_aim(),
        time_left: reader.get_time_left(),
        retry: RetryReason::from_code(retry),
        excluded: read_names(reader.get_excluded()?)?,
        // Not sent: the steward fills in the failure domain of the requesting instance.
        caller_domain: None,
        fingerprint: Fingerprint(reader.get_fingerprint()),
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

fn write_target(mut builder: schema::place::Builder<'_>, target: &EndpointTarget) {
    builder.set_endpoint(target.endpoint.as_str());
    builder.set_address(target.address.to_string());
}

fn read_target(reader: schema::place::Reader<'_>) -> Result<EndpointTarget, Error> {
    let address = reader.get_address()?.to_str()?;
    Ok(EndpointTarget {
        endpoint: EndpointId::new(reader.get_endpoint()?.to_str()?),
        address: read_address(address)?,
    })
}

fn read_helper(reader: schema::helper::Reader<'_>) -> Result<HelperGrant, Error> {
    Ok(HelperGrant {
        target: read_target(reader.get_place()?)?,
        reserved_tokens: reader.get_reserved_tokens(),
    })
}

fn read_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::failed(format!("{text:?} is no address")))
}

pub(crate) fn write_placement_decision(
    builder: schema::verdict::Builder<'_>,
    decision: &PlacementDecision,
) -> Result<(), Error> {
    match decision {
        PlacementDecision::Granted(grant) => {
            let mut granted = builder.init_granted();
            write_target(granted.reborrow().init_host(), &grant.host);
            granted.set_expected_first(grant.expected_first);
            let mut helpers = granted.init_helpers(list_length(grant.helpers.len())?);
            for (index, helper) in (0..helpers.len()).zip(&grant.helpers) {
                let mut builder = helpers.reborrow().get(index);
                builder.set_reserved_tokens(helper.reserved_tokens);
                write_target(builder.init_place(), &helper.target);
            }
        }
        PlacementDecision::Refused(refusal) => {
            let mut refused = builder.init_refused();
            refused.set_reason(refusal.reason.code());
            refused.set_retry_after(refusal.retry_after);
        }
    }
    Ok(())
}

pub(crate) fn read_placement_decision(
    reader: schema::verdict::Reader<'_>,
) -> Result<PlacementDecision, Error> {
    match reader.which()? {
        schema::verdict::Granted(granted) => {
            let helpers = granted.get_helpers()?.iter().map(read_helper);
            Ok(PlacementDecision::Granted(PlacementGrant {
                host: read_target(granted.get_host()?)?,
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

pub(crate) fn write_run_update(mut builder: schema::note::Builder<'_>, update: &RunUpdate) {
    match update {
        RunUpdate::FirstEvent(number) => {
            builder.set_ask(*number);
            builder.set_first_event(());
        }
        RunUpdate::Finished(number, report) => {
            builder.set_ask(*number);
            let mut finished = builder.init_finished();
            finished.set_end(report.outcome.into_schema());
            let fault_at = report.at_fault.map(|address| address.to_string());
            finished.set_fault_at(fault_at.as_deref().unwrap_or(""));
        }
        RunUpdate::Limit(notice) => {
            let mut limit = builder.init_limit();
            limit.set_endpoint(notice.endpoint.as_str());
            limit.set_is_limited(notice.rate.is_some());
            limit.set_rate(notice.rate.map_or(0.0, RequestRate::per_second));
            limit.set_age(notice.age);
        }
        RunUpdate::Leaving(endpoint) => builder.set_leaving(endpoint.as_str()),
    }
}

pub(crate) fn read_run_update(reader: schema::note::Reader<'_>) -> Result<RunUpdate, Error> {
    let number = reader.get_ask();
    match reader.which()? {
        schema::note::FirstEvent(()) => Ok(RunUpdate::FirstEvent(number)),
        schema::note::Finished(finished) => {
            let fault_at = finished.get_fault_at()?.to_str()?;
            let at_fault = if fault_at.is_empty() {
                None
            } else {
                Some(read_address(fault_at)?)
            };
            let outcome = RunOutcome::from_schema(finished.get_end()?);
            let report = RunReport::new(outcome).with_fault_at(at_fault);
            Ok(RunUpdate::Finished(number, report))
        }
        schema::note::Limit(limit) => Ok(RunUpdate::Limit(RateNotice {
            endpoint: EndpointId::new(limit.get_endpoint()?.to_str()?),
            rate: if limit.get_is_limited() {
                Some(read_rate(limit.get_rate())?)
            } else {
                None
            },
            age: limit.get_age(),
        })),
        schema::note::Leaving(endpoint) => {
            Ok(RunUpdate::Leaving(EndpointId::new(endpoint?.to_str()?)))
        }
    }
}

fn read_rate(per_second: f64) -> Result<RequestRate, Error> {
    RequestRate::new(per_second)
        .ok_or_else(|| Error::failed(format!("{per_second} is no rate of requests")))
}

pub(crate) fn write_in_flight_run(
    mut builder: schema::held::Builder<'_>,
    run: &InFlightRun,
) -> Result<(), Error> {
    builder.set_ask(run.number);
    builder.set_writing(run.phase == RunPhase::Decode);
    write_placement_request(builder.reborrow().init_work(), &run.request)?;
    let mut endpoints = builder.init_places(list_length(run.endpoints.len())?);
    for (index, endpoint) in (0..endpoints.len()).zip(&run.endpoints) {
        let mut builder = endpoints.reborrow().get(index);
        builder.set_endpoint(endpoint.endpoint.as_str());
        builder.set_reserved_tokens(endpoint.reserved_tokens);
    }
    Ok(())
}

fn read_in_flight_endpoint(
    reader: schema::held_place::Reader<'_>,
) -> Result<InFlightEndpoint, Error> {
    Ok(InFlightEndpoint {
        endpoint: EndpointId::new(reader.get_endpoint()?.to_str()?),
        reserved_tokens: reader.get_reserved_tokens(),
    })
}

pub(crate) fn read_in_flight_run(reader: schema::held::Reader<'_>) -> Result<InFlightRun, Error> {
    Ok(InFlightRun {
        number: reader.get_ask(),
        request: read_placement_request(reader.get_work()?)?,
        endpoints: reader
            .get_places()?
            .iter()
            .map(read_in_flight_endpoint)
            .collect::<Result<_, Error>>()?,
        phase: if reader.get_writing() {
            RunPhase::Decode
        } else {
            RunPhase::Prefill
        },
    })
}

/// Conversion of a run's outcome to and from its Cap'n Proto enum.
trait RunOutcomeCodec: Sized {
    fn into_schema(self) -> schema::End;
    fn from_schema(end: schema::End) -> Self;
}

impl RunOutcomeCodec for RunOutcome {
    fn into_schema(self) -> schema::End {
        match self {
            Self::Served => schema::End::Served,
            // Neither says anything about the endpoint.
            Self::CallerLeft | Self::NoPath => schema::End::CallerLeft,
            Self::NotConnected => schema::End::NotConnected,
            Self::Refused => schema::End::Refused,
            Self::Broken => schema::End::Broken,
            Self::Silent => schema::End::Silent,
            Self::Failed => schema::End::Failed,
        }
    }

    fn from_schema(end: schema::End) -> Self {
        match end {
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
