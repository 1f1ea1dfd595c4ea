//! Account templates and client accounts.

use std::path::Path;

use anyhow::Context;
use ntex::http::Method;
use operator::{ChangeDocumentRequest, DocumentView};
use policy::template::{CONFIG_PREFIX, ConfigBody};
use serde_json::Value;

use crate::args::{DocumentCommand, OperatorTarget};
use crate::client::{print, send};

/// Which kind of document a command is about.
#[derive(Debug, Clone, Copy)]
enum DocumentKind {
    Template,
    Account,
}

impl DocumentKind {
    fn path(self) -> &'static str {
        match self {
            Self::Template => "templates",
            Self::Account => "accounts",
        }
    }

    fn read(self, file: &Path) -> anyhow::Result<ConfigBody> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        let wrong = || format!("{} has the wrong form", file.display());
        Ok(match self {
            Self::Template => {
                ConfigBody::Template(serde_json::from_str(&text).with_context(wrong)?)
            }
            Self::Account => ConfigBody::Account(serde_json::from_str(&text).with_context(wrong)?),
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
            let path = format!("/operator/{}/{name}", kind.path());
            print(&get(&target, &path).await?)
        }
        DocumentCommand::History { name, target } => {
            let path = format!("/operator/{}/{name}/history", kind.path());
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
            let form = ChangeDocumentRequest {
                body,
                author,
                if_version,
            };
            change(kind, &name, &form, &target).await
        }
        DocumentCommand::Delete {
            name,
            if_version,
            author,
            target,
        } => {
            let form = ChangeDocumentRequest {
                body: ConfigBody::Deleted,
                author,
                if_version,
            };
            change(kind, &name, &form, &target).await
        }
    }
}

async fn get(target: &OperatorTarget, path: &str) -> anyhow::Result<Value> {
    send(target, Method::GET, path, None::<&Value>).await
}

async fn change(
    kind: DocumentKind,
    name: &str,
    form: &ChangeDocumentRequest,
    target: &OperatorTarget,
) -> anyhow::Result<()> {
    let path = format!("/operator/{}/{name}", kind.path());
    print(&send(target, Method::PUT, &path, Some(form)).await?)
}

async fn list(kind: DocumentKind, target: &OperatorTarget) -> anyhow::Result<()> {
    let answer = get(target, "/operator/documents").await?;
    let documents: Vec<DocumentView> = serde_json::from_value(answer)?;
    let prefix = format!("{CONFIG_PREFIX}{}/", kind.path());
    for document in documents {
        if let Some(name) = document.key.strip_prefix(&prefix)
            && document.body != ConfigBody::Deleted
        {
            println!("{name}\t{}", document.version);
        }
    }
    Ok(())
}
