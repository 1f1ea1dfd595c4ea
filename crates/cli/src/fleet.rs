//! The `announce`, `status` and `rollout` commands.

use ntex::http::Method;
use operator::AnnounceRequest;
use policy::ids::{EndpointId, InstanceId};
use policy::leaving::{LeavingKind, LeavingSubject};
use serde_json::Value;

use crate::args::{AnnounceArgs, AnnounceCommand, OperatorTarget, SubjectKind};
use crate::client::{print, send};

/// Announces that an instance or endpoint is to be drained or stopped, and prints who confirmed it.
pub(crate) async fn announce(command: AnnounceCommand) -> anyhow::Result<()> {
    let (args, kind) = match command {
        AnnounceCommand::Leave(args) => (args, LeavingKind::Leave),
        AnnounceCommand::Stop(args) => (args, LeavingKind::Stop),
    };
    let request = AnnounceRequest {
        subject: subject(&args),
        kind,
    };
    let path = "/operator/announcements";
    print(&send(&args.target, Method::POST, path, Some(&request)).await?)
}

fn subject(args: &AnnounceArgs) -> LeavingSubject {
    match args.kind {
        SubjectKind::Instance => LeavingSubject::Instance(InstanceId::new(&args.name)),
        SubjectKind::Endpoint => LeavingSubject::Endpoint(EndpointId::new(&args.name)),
    }
}

/// Prints the state of one entry instance.
pub(crate) async fn status(target: &OperatorTarget) -> anyhow::Result<()> {
    let path = "/operator/status";
    print(&send(target, Method::GET, path, None::<&Value>).await?)
}

/// Prints whether a configuration version is in force in every failure domain.
pub(crate) async fn rollout(version: u64, target: &OperatorTarget) -> anyhow::Result<()> {
    let path = format!("/operator/rollouts/{version}");
    print(&send(target, Method::GET, &path, None::<&Value>).await?)
}
