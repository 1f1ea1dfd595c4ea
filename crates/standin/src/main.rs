//! Runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, Subcommand};
use jackdawpoint_standin::RunningStandin;
use jackdawpoint_standin::engine::{EngineOptions, EngineServing, EngineStandin};
use jackdawpoint_standin::key_value::KeyValueStandin;
use jackdawpoint_standin::platform::{InstanceListStandin, WeightStandin};
use jackdawpoint_standin::service::ServiceStandin;

/// Stand-ins for the systems around jackdawpoint, for tests and experiments.
#[derive(Debug, Parser)]
#[command(version)]
struct StandinArgs {
    #[command(subcommand)]
    role: StandinRole,
}

#[derive(Debug, Subcommand)]
enum StandinRole {
    /// A model engine.
    Engine {
        /// Address to listen on. Port 0 selects a free port; the bound address is printed.
        #[arg(long)]
        listen: SocketAddr,
        /// Largest number of concurrent streams.
        #[arg(long, default_value_t = 32)]
        slots: usize,
        /// Capacity of the KV cache in tokens.
        #[arg(long, default_value_t = 400_000)]
        memory_tokens: u64,
        /// Prefill rate in prompt tokens per second.
        #[arg(long, default_value_t = 400_000)]
        prefill_rate: u64,
        /// Time between two generated tokens in milliseconds.
        #[arg(long, default_value_t = 1)]
        token_ms: u64,
        /// Model that is loaded at startup.
        #[arg(long, default_value = "base")]
        model: String,
        /// Refuse requests for models other than the loaded one.
        #[arg(long)]
        loaded_only: bool,
        /// Accept model orders whose fencing token is outdated.
        #[arg(long)]
        ignore_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Address to listen on. Port 0 selects a free port; the bound address is printed.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The key-value service.
    KeyValue {
        /// Address to listen on. Port 0 selects a free port; the bound address is printed.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The list of instances.
    Instances {
        /// Address to listen on. Port 0 selects a free port; the bound address is printed.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The weight store.
    Weights {
        /// Address to listen on. Port 0 selects a free port; the bound address is printed.
        #[arg(long)]
        listen: SocketAddr,
        /// Shortest time between two model loads in milliseconds.
        #[arg(long, default_value_t = 1_000)]
        period_ms: u64,
    },
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let running = start(StandinArgs::parse().role)?;
    println!("listening on {}", running.address);
    running.server.await?;
    Ok(())
}

fn start(role: StandinRole) -> anyhow::Result<RunningStandin> {
    let running = match role {
        StandinRole::Engine {
            listen,
            slots,
            memory_tokens,
            prefill_rate,
            token_ms,
            model,
            loaded_only,
            ignore_fencing,
        } => EngineStandin::new(EngineOptions {
            slots,
            memory_tokens,
            prefill_rate,
            token_time: Duration::from_millis(token_ms),
            model,
            serving: if loaded_only {
                EngineServing::LoadedModel
            } else {
                EngineServing::EveryModel
            },
            checks_fencing: !ignore_fencing,
        })
        .serve(listen)?,
        StandinRole::Service { listen } => ServiceStandin::new().serve(listen)?,
        StandinRole::KeyValue { listen } => KeyValueStandin::new().serve(listen)?,
        StandinRole::Instances { listen } => InstanceListStandin::new().serve(listen)?,
        StandinRole::Weights { listen, period_ms } => {
            WeightStandin::new(Duration::from_millis(period_ms)).serve(listen)?
        }
    };
    Ok(running)
}
