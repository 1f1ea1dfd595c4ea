//! Between the generated codec's types and the plain data of the decisions.

use capnp::Error;
use peer_schema::peer_capnp as schema;
use policy::ids::{AccountId, EndpointId, Incarnation, InstanceId, OwnerId, RequestId};
use policy::member::{MemberStatus, MemberUpdate};
use policy::outcome::{Refusal, RefusalReason};
use policy::poison::Fingerprint;
use policy::pool::{
    Grant, GrantDecision, GrantId, GrantPart, GrantRequest, PrefillPriority, Sharing,
};
use policy::prefix::{PrefixHash, PromptPrefix};

use crate::handler::{PeerDigest, ProbeMessage};

/// A list's length as the codec counts it.
///
/// # Errors
///
/// For a list that no message can hold.
pub(crate) fn list_length(length: usize) -> Result<u32, Error> {
    u32::try_from(length).map_err(|_| Error::failed("the list is too long".to_owned()))
}

/// Reads a part of a message that travels as JSON.
pub(crate) fn from_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::failed(error.to_string()))
}

/// Writes a part of a message that travels as JSON.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::failed(error.to_string()))
}

pub(crate) fn write_owner(mut form: schema::owner::Builder<'_>, owner: &OwnerId) {
    form.set_instance(owner.instance.as_str());
    form.set_incarnation(owner.incarnation.0);
}

pub(crate) fn read_owner(form: schema::owner::Reader<'_>) -> Result<OwnerId, Error> {
    Ok(OwnerId::new(
        InstanceId::new(form.get_instance()?.to_str()?),
        Incarnation(form.get_incarnation()),
    ))
}

pub(crate) fn write_updates(
    mut list: capnp::struct_list::Builder<'_, schema::update::Owned>,
    updates: &[MemberUpdate],
) {
    for (index, update) in (0..list.len()).zip(updates) {
        let mut form = list.reborrow().get(index);
        write_owner(form.reborrow().init_owner(), &update.owner);
        form.set_refutation(update.refutation);
        form.set_address(&update.address);
        form.set_status(match update.status {
            MemberStatus::Alive => schema::Status::Alive,
            MemberStatus::Suspect => schema::Status::Suspect,
            MemberStatus::Dead => schema::Status::Dead,
            MemberStatus::Left => schema::Status::Left,
        });
    }
}

pub(crate) fn read_updates(
    list: capnp::struct_list::Reader<'_, schema::update::Owned>,
) -> Result<Vec<MemberUpdate>, Error> {
    list.iter()
        .map(|form| {
            Ok(MemberUpdate {
                owner: read_owner(form.get_owner()?)?,
                refutation: form.get_refutation(),
                address: form.get_address()?.to_string()?,
                status: match form.get_status()? {
                    schema::Status::Alive => MemberStatus::Alive,
                    schema::Status::Suspect => MemberStatus::Suspect,
                    schema::Status::Dead => MemberStatus::Dead,
                    schema::Status::Left => MemberStatus::Left,
                },
            })
        })
        .collect()
}

/// Bytes of a probe with these changes on the wire.
///
/// # Errors
///
/// For a list that no message can hold.
pub fn probe_bytes(message: &ProbeMessage) -> Result<usize, Error> {
    let mut builder = capnp::message::Builder::new_default();
    let mut form = builder.init_root::<schema::peer::probe_params::Builder<'_>>();
    form.set_from(&message.from);
    let length = list_length(message.updates.len())?;
    write_updates(form.reborrow().init_updates(length), &message.updates);
    write_digest(form.init_digest(), message.digest);
    Ok(capnp::serialize::compute_serialized_size_in_words(&builder) * BYTES_PER_WORD)
}

/// Bytes of a word of the codec.
const BYTES_PER_WORD: usize = 8;

pub(crate) fn write_digest(mut form: schema::digest::Builder<'_>, digest: PeerDigest) {
    form.set_config_version(digest.config_version);
    form.set_leaving(digest.leaving);
    form.set_quarantine(digest.quarantine);
}

pub(crate) fn read_digest(form: schema::digest::Reader<'_>) -> PeerDigest {
    PeerDigest {
        config_version: form.get_config_version(),
        leaving: form.get_leaving(),
        quarantine: form.get_quarantine(),
    }
}

pub(crate) fn write_ask(
    mut form: schema::ask::Builder<'_>,
    ask: &GrantRequest,
) -> Result<(), Error> {
    write_owner(form.reborrow().init_owner(), &ask.owner);
    let request = ask.request_id.0.to_be_bytes();
    let (high, low) = request.split_at(8);
    form.set_request_high(u64::from_be_bytes(high.try_into().unwrap_or_default()));
    form.set_request_low(u64::from_be_bytes(low.try_into().unwrap_or_default()));
    form.set_fingerprint(ask.fingerprint.0);
    form.set_account(ask.account.as_str());
    form.set_weight(ask.weight);
    form.set_model(&ask.model);
    form.set_prompt_tokens(ask.prompt_tokens);
    form.set_output_tokens(ask.output_tokens);
    form.set_time_left(ask.time_left);
    form.set_sharing(match ask.sharing {
        Sharing::Shared => schema::Sharing::Shared,
        Sharing::Exclusive => schema::Sharing::Alone,
    });
    let length = list_length(ask.prefixes.len())?;
    let mut prefixes = form.reborrow().init_prefixes(length);
    for (index, prefix) in (0..length).zip(&ask.prefixes) {
        let mut form = prefixes.reborrow().get(index);
        form.set_hash(prefix.hash.0);
        form.set_tokens(prefix.tokens);
    }
    let length = list_length(ask.excluded.len())?;
    let mut excluded = form.reborrow().init_excluded(length);
    for (index, endpoint) in (0..length).zip(&ask.excluded) {
        excluded.set(index, endpoint.as_str());
    }
    Ok(())
}

pub(crate) fn read_ask(form: schema::ask::Reader<'_>) -> Result<GrantRequest, Error> {
    let high = u128::from(form.get_request_high());
    let low = u128::from(form.get_request_low());
    let prefixes = form.get_prefixes()?.iter().map(|form| PromptPrefix {
        hash: PrefixHash(form.get_hash()),
        tokens: form.get_tokens(),
    });
    let excluded = form
        .get_excluded()?
        .iter()
        .map(|text| Ok(EndpointId::new(text?.to_str()?)));
    Ok(GrantRequest {
        owner: read_owner(form.get_owner()?)?,
        request_id: RequestId(high << 64 | low),
        fingerprint: Fingerprint(form.get_fingerprint()),
        account: AccountId::new(form.get_account()?.to_str()?),
        weight: form.get_weight(),
        model: form.get_model()?.to_string()?,
        prompt_tokens: form.get_prompt_tokens(),
        output_tokens: form.get_output_tokens(),
        prefixes: prefixes.collect(),
        time_left: form.get_time_left(),
        sharing: match form.get_sharing()? {
            schema::Sharing::Shared => Sharing::Shared,
            schema::Sharing::Alone => Sharing::Exclusive,
        },
        excluded: excluded.collect::<Result<_, Error>>()?,
    })
}

pub(crate) fn write_decision(
    form: schema::decision::Builder<'_>,
    decision: &GrantDecision,
) -> Result<(), Error> {
    match decision {
        GrantDecision::Granted(grant) => {
            let mut form = form.init_granted();
            form.set_id(grant.id.0);
            form.set_first_token(grant.expected_first_token);
            form.set_priority(u8::try_from(grant.priority.level()).unwrap_or(0));
            let length = list_length(grant.parts.len())?;
            let mut parts = form.init_parts(length);
            for (index, part) in (0..length).zip(&grant.parts) {
                let mut form = parts.reborrow().get(index);
                form.set_endpoint(part.endpoint.as_str());
                form.set_tokens(part.tokens);
            }
        }
        GrantDecision::Refused(refusal) => {
            let mut form = form.init_refused();
            form.set_reason(refusal.reason.code());
            form.set_retry_after(refusal.retry_after);
        }
        GrantDecision::Queued(_) => {
            return Err(Error::failed("the ask is not decided".to_owned()));
        }
    }
    Ok(())
}

pub(crate) fn read_decision(
    form: schema::decision::Reader<'_>,
    ask: &GrantRequest,
) -> Result<GrantDecision, Error> {
    match form.which()? {
        schema::decision::Granted(form) => {
            let parts = form.get_parts()?.iter().map(|form| {
                Ok(GrantPart {
                    endpoint: EndpointId::new(form.get_endpoint()?.to_str()?),
                    tokens: form.get_tokens(),
                })
            });
            let parts: Vec<GrantPart> = parts.collect::<Result<_, Error>>()?;
            if parts.is_empty() {
                return Err(Error::failed("the grant has no parts".to_owned()));
            }
            Ok(GrantDecision::Granted(Grant {
                id: GrantId(form.get_id()),
                request: ask.request_id,
                owner: ask.owner.clone(),
                parts,
                priority: PrefillPriority::with_level(usize::from(form.get_priority())),
                expected_first_token: form.get_first_token(),
            }))
        }
        schema::decision::Refused(form) => {
            let code = form.get_reason()?.to_str()?;
            let reason = RefusalReason::from_code(code)
                .ok_or_else(|| Error::failed("unknown refusal reason".to_owned()))?;
            Ok(GrantDecision::Refused(Refusal::new(
                reason,
                form.get_retry_after(),
            )))
        }
    }
}
