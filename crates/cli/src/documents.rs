//! The `template` and `account` commands.

use std::path::Path;

use anyhow::Context;
use ntex::http::Method;
use operator::{ChangeDocumentRequest, DocumentView};
use policy::template::{CONFIG_PREFIX, ConfigBody};
use serde_json::Value;

use crate::args::{DocumentCommand, OperatorTarget};
use crate::client::{print, send};

/// Kind of the documents that a command reads or changes.
#[derive(Debug, Clone, Copy)]
enum DocumentKind {
    Template,
    Account,
}

impl DocumentKind {
    fn path_segment(self) -> &'static str {
        match self {
            Self::Template => "templates",
            Self::Account => "accounts",
        }
    }

    fn read(self, file: &Path) -> anyhow::Result<ConfigBody> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        let error = || format!("{} is not a valid document", file.display());
        Ok(match self {
            Self::Template => {
                ConfigBody::Template(serde_json::from_str(&text).with_context(error)?)
            }
            Self::Account => ConfigBody::Account(serde_json::from_str(&text).with_context(error)?),
        })
    }
}

/// Runs a command on account templates.
pub(crate) async fn run_template(command: DocumentCommand) -> anyhow::Result<()> {
    run(DocumentKind::Template, command).await
}

/// Runs a command on client accounts.
pub(crate) async fn run_account(command: DocumentCommand) -> anyhow::Result<()> {
    run(DocumentKind::Account, command).await
}

async fn run(kind: DocumentKind, command: DocumentCommand) -> anyhow::Result<()> {
    match command {
        DocumentCommand::List { target } => list(kind, &target).await,
        DocumentCommand::Show { name, target } => {
            let path = format!("/operator/{}/{name}", kind.path_segment());
            print(&get(&target, &path).await?)
        }
        DocumentCommand::History { name, target } => {
            let path = format!("/operator/{}/{name}/history", kind.path_segment());
            print(&get(&target, &path).await?)
        }
        DocumentCommand::Set {
            name,
            file,
            if_version,
            author,
            target,
        } => {
            let body = kind.read(&file)?;
            let request = ChangeDocumentRequest {
                body,
                author,
                if_version,
            };
            change(kind, &name, &request, &target).await
        }
        DocumentCommand::Delete {
            name,
            if_version,
            author,
            target,
        } => {
            let request = ChangeDocumentRequest {
                body: ConfigBody::Deleted,
                author,
                if_version,
            };
            change(kind, &name, &request, &target).await
        }
    }
}

async fn get(target: &OperatorTarget, path: &str) -> anyhow::Result<Value> {
    send(target, Method::GET, path, None::<&Value>).await
}

async fn change(
    kind: DocumentKind,
    name: &str,
    request: &ChangeDocumentRequest,
    target: &OperatorTarget,
) -> anyhow::Result<()> {
    let path = format!("/operator/{}/{name}", kind.path_segment());
    print(&send(target, Method::PUT, &path, Some(request)).await?)
}

async fn list(kind: DocumentKind, target: &OperatorTarget) -> anyhow::Result<()> {
    let answer = get(target, "/operator/documents").await?;
    let documents: Vec<DocumentView> = serde_json::from_value(answer)?;
    let prefix = format!("{CONFIG_PREFIX}{}/", kind.path_segment());
    for document in documents {
        if let Some(name) = document.key.strip_prefix(&prefix)
            && document.body != ConfigBody::Deleted
        {
            println!("{name}\t{}", document.version);
        }
    }
    Ok(())
}
