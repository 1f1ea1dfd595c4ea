//! The `experiment` command: simulates a load under one or more dispatch policies.

use std::fs;

use anyhow::Context;
use model::clairvoyant::clairvoyant;
use model::report::{ExperimentReport, report, table};
use model::{LoadExperiment, LoadFile};
use policy::dispatch::DispatchLimits;
use serde::Serialize;

use crate::args::ExperimentArgs;

/// Results of one policy: one report per seed, in the order of the seeds.
#[derive(Debug, Serialize)]
struct PolicyReports {
    policy: String,
    reports: Vec<ExperimentReport>,
}

/// Simulates the load with each policy and seed, prints a table of means per policy and writes all
/// reports to the JSON file if one is given.
pub(crate) fn run(args: &ExperimentArgs) -> anyhow::Result<()> {
    let name = args.load.display();
    let text = fs::read_to_string(&args.load).with_context(|| format!("cannot read {name}"))?;
    let load =
        LoadFile::parse(&text).with_context(|| format!("{name} is not a valid load file"))?;
    let mut all = Vec::new();
    for policy in &args.policies {
        let limits: DispatchLimits = serde_json::from_str(policy)
            .with_context(|| format!("{policy} is not a valid dispatch policy"))?;
        let reports: Vec<ExperimentReport> = (1..=args.seeds)
            .map(|seed| {
                let outcome = LoadExperiment::new(&load, limits.clone(), seed).run();
                report(&load, &outcome.records, outcome.use_share)
            })
            .collect();
        print!("{}", table(policy, &reports));
        all.push(PolicyReports {
            policy: policy.clone(),
            reports,
        });
    }
    if args.clairvoyant {
        let estimates: Vec<ExperimentReport> = (1..=args.seeds)
            .map(|seed| {
                let outcome = LoadExperiment::new(&load, DispatchLimits::default(), seed).run();
                report(
                    &load,
                    &clairvoyant(&load, &outcome.records),
                    outcome.use_share,
                )
            })
            .collect();
        print!("{}", table("clairvoyant", &estimates));
    }
    if let Some(file) = &args.json {
        let text = serde_json::to_string_pretty(&all)?;
        fs::write(file, text).with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(())
}
