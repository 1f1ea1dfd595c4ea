//! Commands and arguments; their doc comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Operates a fleet of jackdawpoint entry instances.
#[derive(Debug, Parser)]
#[command(name = "jackdawpoint", version)]
pub(crate) struct CommandArgs {
    #[command(subcommand)]
    pub(crate) command: OperatorCommand,
}

#[derive(Debug, Subcommand)]
pub(crate) enum OperatorCommand {
    /// Checks settings files and prints their schema.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Lists, shows and changes account templates.
    #[command(subcommand)]
    Template(DocumentCommand),
    /// Lists, shows and changes client accounts.
    #[command(subcommand)]
    Account(DocumentCommand),
    /// Announces that an entry instance or endpoint is to be drained or stopped.
    #[command(subcommand)]
    Announce(AnnounceCommand),
    /// Shows the state of one entry instance and its view of members, announcements and pools.
    Status(OperatorTarget),
    /// Shows whether a configuration version is in force in every failure domain.
    Rollout {
        /// The configuration version.
        version: u64,
        #[command(flatten)]
        target: OperatorTarget,
    },
    /// Simulates a load on engines to evaluate dispatch policies, in virtual time.
    Experiment(ExperimentArgs),
    /// Prints the log lines of one request from the logs of all instances, with the state changes
    /// of its instance shortly before.
    Explain(ExplainArgs),
    /// Runs an entry instance and stand-ins of its backends in this process and sends requests to
    /// it.
    Demo,
}

/// Arguments of the `experiment` command.
#[derive(Debug, Clone, Args)]
pub(crate) struct ExperimentArgs {
    /// Load file (JSON); see `examples/loads`.
    pub(crate) load: PathBuf,
    /// Dispatch policy: a JSON object whose members replace the defaults, such as
    /// `{"most_splits": 1}`. Can be given several times to compare policies.
    #[arg(long = "policy", default_value = "{}")]
    pub(crate) policies: Vec<String>,
    /// Number of simulations per policy; their seeds are 1, 2, and so on.
    #[arg(long, default_value_t = 5)]
    pub(crate) seeds: u64,
    /// Also estimate what a schedule reaches that knows all arrivals beforehand.
    #[arg(long)]
    pub(crate) clairvoyant: bool,
    /// File to which the results of each seed are written as JSON.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
}

/// Arguments of the `explain` command.
#[derive(Debug, Clone, Args)]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    pub(crate) request: String,
    /// Log files; standard input is read if none is given.
    pub(crate) logs: Vec<PathBuf>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Checks a settings file without starting an instance.
    Check {
        /// Settings file (JSON).
        file: PathBuf,
    },
    /// Prints the JSON schema of the settings.
    Schema,
}

/// The entry instance to which a command is sent.
#[derive(Debug, Clone, Args)]
pub(crate) struct OperatorTarget {
    /// Operators' address of any entry instance.
    #[arg(long, env = "JACKDAWPOINT_OPERATORS", default_value = "127.0.0.1:8081")]
    pub(crate) at: SocketAddr,
}

#[derive(Debug, Subcommand)]
pub(crate) enum DocumentCommand {
    /// Lists all documents with their versions.
    List {
        #[command(flatten)]
        target: OperatorTarget,
    },
    /// Shows one document.
    Show {
        /// Name of the document.
        name: String,
        #[command(flatten)]
        target: OperatorTarget,
    },
    /// Writes a document and waits until it is in force in every failure domain that can be
    /// reached.
    Set {
        /// Name of the document.
        name: String,
        /// File with the content of the document (JSON).
        file: PathBuf,
        /// Version on which the change is based, 0 for a new document; without it, the newest one.
        #[arg(long)]
        if_version: Option<u64>,
        /// Author of the change, for the history.
        #[arg(long, env = "USER", default_value = "")]
        author: String,
        #[command(flatten)]
        target: OperatorTarget,
    },
    /// Deletes a document.
    Delete {
        /// Name of the document.
        name: String,
        /// Version on which the change is based; without it, the newest one.
        #[arg(long)]
        if_version: Option<u64>,
        /// Author of the change, for the history.
        #[arg(long, env = "USER", default_value = "")]
        author: String,
        #[command(flatten)]
        target: OperatorTarget,
    },
    /// Shows the versions of a document, the newest first.
    History {
        /// Name of the document.
        name: String,
        #[command(flatten)]
        target: OperatorTarget,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum AnnounceCommand {
    /// Drains the subject: it gets no new work and finishes its running work.
    Leave(AnnounceArgs),
    /// Like `leave`; an entry instance also ends its process once it is drained.
    Stop(AnnounceArgs),
}

#[derive(Debug, Clone, Args)]
pub(crate) struct AnnounceArgs {
    /// Name of the entry instance or endpoint.
    pub(crate) name: String,
    /// Kind of the subject with this name.
    #[arg(long, value_enum, default_value_t = SubjectKind::Instance)]
    pub(crate) kind: SubjectKind,
    #[command(flatten)]
    pub(crate) target: OperatorTarget,
}

/// Kind of the subject of an announcement.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum SubjectKind {
    /// An entry instance.
    Instance,
    /// An endpoint.
    Endpoint,
}
