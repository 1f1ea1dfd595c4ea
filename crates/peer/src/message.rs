//! Conversions between the Cap'n Proto types of `peer.capnp` and the types of `policy`.

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

/// Converts a list's length to the type that Cap'n Proto uses.
///
/// # Errors
///
/// Returns an error if the length does not fit in a `u32`.
pub(crate) fn list_length(length: usize) -> Result<u32, Error> {
    u32::try_from(length).map_err(|_| Error::failed("the list is too long".to_owned()))
}

/// Parses a message field that is sent as JSON.
pub(crate) fn from_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::failed(error.to_string()))
}

/// Serializes a message field that is sent as JSON.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::failed(error.to_string()))
}

pub(crate) fn write_owner(mut builder: schema::owner::Builder<'_>, owner: &OwnerId) {
    builder.set_instance(owner.instance.as_str());
    builder.set_incarnation(owner.incarnation.0);
}

pub(crate) fn read_owner(reader: schema::owner::Reader<'_>) -> Result<OwnerId, Error> {
    Ok(OwnerId::new(
        InstanceId::new(reader.get_instance()?.to_str()?),
        Incarnation(reader.get_incarnation()),
    ))
}

pub(crate) fn write_updates(
    mut list: capnp::struct_list::Builder<'_, schema::update::Owned>,
    updates: &[MemberUpdate],
) {
    for (index, update) in (0..list.len()).zip(updates) {
        let mut builder = list.reborrow().get(index);
        write_owner(builder.reborrow().init_owner(), &update.owner);
        builder.set_refutation(update.refutation);
        builder.set_address(&update.address);
        builder.set_status(match update.status {
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
        .map(|reader| {
            Ok(MemberUpdate {
                owner: read_owner(reader.get_owner()?)?,
                refutation: reader.get_refutation(),
                address: reader.get_address()?.to_string()?,
                status: match reader.get_status()? {
                    schema::Status::Alive => MemberStatus::Alive,
                    schema::Status::Suspect => MemberStatus::Suspect,
                    schema::Status::Dead => MemberStatus::Dead,
                    schema::Status::Left => MemberStatus::Left,
                },
            })
        })
        .collect()
}

/// Returns the serialized size of a probe in bytes.
///
/// # Errors
///
/// Returns an error if the list of updates does not fit in a message.
pub fn probe_bytes(message: &ProbeMessage) -> Result<usize, Error> {
    let mut message_builder = capnp::message::Builder::new_default();
    let mut builder = message_builder.init_root::<schema::peer::probe_params::Builder<'_>>();
    builder.set_from(&message.from);
    let length = list_length(message.updates.len())?;
    write_updates(builder.reborrow().init_updates(length), &message.updates);
    write_digest(builder.init_digest(), message.digest);
    Ok(capnp::serialize::compute_serialized_size_in_words(&message_builder) * BYTES_PER_WORD)
}

/// Bytes in a Cap'n Proto word.
const BYTES_PER_WORD: usize = 8;

pub(crate) fn write_digest(mut builder: schema::digest::Builder<'_>, digest: PeerDigest) {
    builder.set_config_version(digest.config_version);
    builder.set_leaving(digest.leaving);
    builder.set_quarantine(digest.quarantine);
}

pub(crate) fn read_digest(reader: schema::digest::Reader<'_>) -> PeerDigest {
    PeerDigest {
        config_version: reader.get_config_version(),
        leaving: reader.get_leaving(),
        quarantine: reader.get_quarantine(),
    }
}

pub(crate) fn write_grant_request(
    mut builder: schema::ask::Builder<'_>,
    request: &GrantRequest,
) -> Result<(), Error> {
    write_owner(builder.reborrow().init_owner(), &request.owner);
    let request_id = request.request_id.0.to_be_bytes();
    let (high, low) = request_id.split_at(8);
    builder.set_request_high(u64::from_be_bytes(high.try_into().unwrap_or_default()));
    builder.set_request_low(u64::from_be_bytes(low.try_into().unwrap_or_default()));
    builder.set_fingerprint(request.fingerprint.0);
    builder.set_account(request.account.as_str());
    builder.set_weight(request.weight);
    builder.set_model(&request.model);
    builder.set_prompt_tokens(request.prompt_tokens);
    builder.set_output_tokens(request.output_tokens);
    builder.set_time_left(request.time_left);
    builder.set_sharing(match request.sharing {
        Sharing::Shared => schema::Sharing::Shared,
        Sharing::Exclusive => schema::Sharing::Alone,
    });
    let length = list_length(request.prefixes.len())?;
    let mut prefixes = builder.reborrow().init_prefixes(length);
    for (index, prefix) in (0..length).zip(&request.prefixes) {
        let mut builder = prefixes.reborrow().get(index);
        builder.set_hash(prefix.hash.0);
        builder.set_tokens(prefix.tokens);
    }
    let length = list_length(request.excluded.len())?;
    let mut excluded = builder.reborrow().init_excluded(length);
    for (index, endpoint) in (0..length).zip(&request.excluded) {
        excluded.set(index, endpoint.as_str());
    }
    Ok(())
}

pub(crate) fn read_grant_request(reader: schema::ask::Reader<'_>) -> Result<GrantRequest, Error> {
    let high = u128::from(reader.get_request_high());
    let low = u128::from(reader.get_request_low());
    let prefixes = reader.get_prefixes()?.iter().map(|reader| PromptPrefix {
        hash: PrefixHash(reader.get_hash()),
        tokens: reader.get_tokens(),
    });
    let excluded = reader
        .get_excluded()?
        .iter()
        .map(|text| Ok(EndpointId::new(text?.to_str()?)));
    Ok(GrantRequest {
        owner: read_owner(reader.get_owner()?)?,
        request_id: RequestId(high << 64 | low),
        fingerprint: Fingerprint(reader.get_fingerprint()),
        account: AccountId::new(reader.get_account()?.to_str()?),
        weight: reader.get_weight(),
        model: reader.get_model()?.to_string()?,
        prompt_tokens: reader.get_prompt_tokens(),
        output_tokens: reader.get_output_tokens(),
        prefixes: prefixes.collect(),
        time_left: reader.get_time_left(),
        sharing: match reader.get_sharing()? {
            schema::Sharing::Shared => Sharing::Shared,
            schema::Sharing::Alone => Sharing::Exclusive,
        },
        excluded: excluded.collect::<Result<_, Error>>()?,
    })
}

pub(crate) fn write_decision(
    builder: schema::decision::Builder<'_>,
    decision: &GrantDecision,
) -> Result<(), Error> {
    match decision {
        GrantDecision::Granted(grant) => {
            let mut builder = builder.init_granted();
            builder.set_id(grant.id.0);
            builder.set_first_token(grant.expected_first_token);
            builder.set_priority(u8::try_from(grant.priority.level()).unwrap_or(0));
            let length = list_length(grant.parts.len())?;
            let mut parts = builder.init_parts(length);
            for (index, part) in (0..length).zip(&grant.parts) {
                let mut builder = parts.reborrow().get(index);
                builder.set_endpoint(part.endpoint.as_str());
                builder.set_tokens(part.tokens);
            }
        }
        GrantDecision::Refused(refusal) => {
            let mut builder = builder.init_refused();
            builder.set_reason(refusal.reason.code());
            builder.set_retry_after(refusal.retry_after);
        }
        GrantDecision::Queued(_) => {
            return Err(Error::failed("the ask is not decided".to_owned()));
        }
    }
    Ok(())
}

pub(crate) fn read_decision(
    reader: schema::decision::Reader<'_>,
    request: &GrantRequest,
) -> Result<GrantDecision, Error> {
    match reader.which()? {
        schema::decision::Granted(reader) => {
            let parts = reader.get_parts()?.iter().map(|reader| {
                Ok(GrantPart {
                    endpoint: EndpointId::new(reader.get_endpoint()?.to_str()?),
                    tokens: reader.get_tokens(),
                })
            });
            let parts: Vec<GrantPart> = parts.collect::<Result<_, Error>>()?;
            if parts.is_empty() {
                return Err(Error::failed("the grant has no parts".to_owned()));
            }
            Ok(GrantDecision::Granted(Grant {
                id: GrantId(reader.get_id()),
                request_id: request.request_id,
                owner: request.owner.clone(),
                parts,
                priority: PrefillPriority::with_level(usize::from(reader.get_priority())),
                expected_first_token: reader.get_first_token(),
            }))
        }
        schema::decision::Refused(reader) => {
            let code = reader.get_reason()?.to_str()?;
            let reason = RefusalReason::from_code(code)
                .ok_or_else(|| Error::failed("unknown refusal reason".to_owned()))?;
            Ok(GrantDecision::Refused(Refusal::new(
                reason,
                reader.get_retry_after(),
            )))
        }
    }
}
