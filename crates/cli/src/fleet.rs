//! Announcements, status and rollouts.

use ntex::http::Method;
use operator::AnnounceRequest;
use policy::ids::{EndpointId, InstanceId};
use policy::leaving::{LeavingKind, LeavingSubject};
use serde_json::Value;

use crate::args::{AnnounceArgs, AnnounceCommand, OperatorTarget, SubjectKind};
use crate::client::{print, send};

/// Announces that an instance or endpoint leaves or stops.
pub(crate) async fn announce(command: AnnounceCommand) -> anyhow::Result<()> {
    let (args, kind) = match command {
        AnnounceCommand::Leave(args) => (args, LeavingKind::Leave),
        AnnounceCommand::Stop(args) => (args, LeavingKind::Stop),
    };
    let form = AnnounceRequest {
        subject: subject(&args),
        kind,
    };
    let path = "/operator/announcements";
    print(&send(&args.target, Method::POST, path, Some(&form)).await?)
}

fn subject(args: &AnnounceArgs) -> LeavingSubject {
    match args.kind {
        SubjectKind::Instance => LeavingSubject::Instance(InstanceId::new(&args.name)),
        SubjectKind::Endpoint => LeavingSubject::Endpoint(EndpointId::new(&args.name)),
    }
}

/// Shows the state of one entry instance.
pub(crate) async fn status(target: &OperatorTarget) -> anyhow::Result<()> {
    let path = "/operator/status";
    print(&send(target, Method::GET, path, None::<&Value>).await?)
}

/// Asks whether a version is in force everywhere.
pub(crate) async fn rollout(version: u64, target: &OperatorTarget) -> anyhow::Result<()> {
    let path = format!("/operator/rollouts/{version}");
    print(&send(target, Method::GET, &path, None::<&Value>).await?)
}
