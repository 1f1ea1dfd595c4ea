//! Real instances on loopback: the latency that they add, and what an idle one costs.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use caller::ApiKeyDigest;
use hdrhistogram::Histogram;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use serde::Serialize;
use serde_json::{Value, json};
use standin::engine::{EngineOptions, EngineStandin};
use standin::key_value::KeyValueStandin;
use standin::platform::{InstanceListStandin, WeightStandin};
use transport::{ExchangeLimits, HttpClient};

use crate::costs::resident_bytes;
use crate::workload::as_float;

/// Latency of whole short answers, through an instance and straight from the engine.
#[derive(Debug, Serialize)]
pub(crate) struct LatencyRow {
    prompt_bytes: usize,
    requests: usize,
    direct_us: [u64; 2],
    through_us: [u64; 2],
    added_us: [i64; 2],
    ratio_p50: f64,
}

/// What an idle instance costs.
#[derive(Debug, Serialize)]
pub(crate) struct IdleRow {
    members: usize,
    seconds: u64,
    core_percent: f64,
    resident_mb: f64,
    peer_messages_a_second: f64,
    platform_calls_a_second: f64,
}

const API_KEY: &str = "measure-key";
const REQUESTS: usize = 500;
const IDLE_SECONDS: u64 = 8;
const LONGEST_MICROS: u64 = 60_000_000;

struct MeasuredFleet {
    entries: Vec<(Child, SocketAddr, SocketAddr)>,
    engine: SocketAddr,
    link: HttpClient,
    folder: PathBuf,
}

impl Drop for MeasuredFleet {
    fn drop(&mut self) {
        for (child, ..) in &mut self.entries {
            // A process that has ended already needs no killing.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

impl MeasuredFleet {
    async fn start(members: usize, program: &Path) -> anyhow::Result<Self> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let options = EngineOptions {
            token_time: Duration::ZERO,
            prefill_rate: u64::MAX / 2_000,
            ..EngineOptions::default()
        };
        let engine = EngineStandin::new(options).serve(any)?.address;
        let platform = json!({
            "key_value": KeyValueStandin::new().serve(any)?.address,
            "instances": InstanceListStandin::new().serve(any)?.address,
            "weights": WeightStandin::new(Duration::from_secs(1)).serve(any)?.address,
        });
        let folder = std::env::temp_dir().join(format!("jackdawpoint-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            entries: Vec::new(),
            engine,
            link: HttpClient::new(ExchangeLimits::default()).await,
            folder,
        };
        let addresses = (0..members * 3)
            .map(|_| free_address())
            .collect::<anyhow::Result<Vec<_>>>()?;
        let peers: Vec<_> = addresses.chunks(3).map(|three| three[2]).collect();
        for (number, three) in addresses.chunks(3).enumerate() {
            let settings = json!({
                "instance": format!("m-{number}"),
                "failure_domain": "m",
                "listen": { "callers": three[0], "operators": three[1], "peers": three[2] },
                "peers": peers,
                "platform": platform,
                "pools": [{ "name": "p", "models": ["m"], "engines": [{
                    "name": "e", "address": engine, "slots": 32,
                    "memory_tokens": 400_000, "prefill_rate": 1_000_000_000,
                }] }],
            });
            let file = fleet.folder.join(format!("{number}.json"));
            std::fs::write(&file, settings.to_string())?;
            let child = Command::new(program)
                .arg("--settings")
                .arg(&file)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .with_context(|| format!("cannot start {}", program.display()))?;
            fleet.entries.push((child, three[0], three[1]));
        }
        fleet.configure().await?;
        Ok(fleet)
    }

    async fn send(&self, method: Method, url: &str, body: Vec<u8>) -> anyhow::Result<Bytes> {
        let request = self
            .link
            .request(method, url)
            .content_type("application/json")
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-attempt", format!("{:032x}-1", 1))
            .header("x-owner", "measure/1");
        let answer = self.link.send(request, Bytes::from(body)).await;
        let answer = answer.map_err(|fault| anyhow::anyhow!("{url}: {fault:?}"))?;
        ensure!(answer.status().is_success(), "{url}: {}", answer.status());
        let body = self.link.read_body(&answer).await;
        body.map_err(|fault| anyhow::anyhow!("{url}: {fault:?}"))
    }

    async fn configure(&self) -> anyhow::Result<()> {
        for (_, callers, _) in &self.entries {
            let url = format!("http://{callers}/ready");
            let mut tries = 0;
            while self.send(Method::GET, &url, Vec::new()).await.is_err() {
                tries += 1;
                ensure!(tries < 500, "an instance does not become ready");
                sleep(Millis(20)).await;
            }
        }
        let operators = self.entries[0].2;
        let documents = [
            (
                "templates/t",
                json!({ "template": { "name": "t", "models": [{ "model": "m" }] } }),
            ),
            (
                "accounts/a",
                json!({ "account": {
                "name": "a", "key_sha256": ApiKeyDigest::new(API_KEY).as_str(), "template": "t",
            } }),
            ),
        ];
        for (path, body) in documents {
            let url = format!("http://{operators}/operator/{path}");
            let form = json!({ "body": body }).to_string();
            self.send(Method::PUT, &url, form.into_bytes()).await?;
        }
        Ok(())
    }

    async fn time(&self, url: &str, body: &[u8]) -> anyhow::Result<Histogram<u64>> {
        let mut times = Histogram::new_with_max(LONGEST_MICROS, 3)?;
        for number in 0..REQUESTS + REQUESTS / 10 {
            let start = Instant::now();
            self.send(Method::POST, url, body.to_vec()).await?;
            if number >= REQUESTS / 10 {
                let micros = u64::try_from(start.elapsed().as_micros())?;
                times.saturating_record(micros);
            }
        }
        Ok(times)
    }

    async fn metric(&self, number: usize, name: &str) -> anyhow::Result<f64> {
        let url = format!("http://{}/metrics", self.entries[number].1);
        let text = self.send(Method::GET, &url, Vec::new()).await?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(value.context("the metric is missing")?.parse()?)
    }
}

/// Measures the latency that an instance adds.
pub(crate) async fn latency(program: &Path) -> anyhow::Result<Vec<LatencyRow>> {
    let fleet = MeasuredFleet::start(1, program).await?;
    let mut rows = Vec::new();
    for prompt_bytes in [4_000, 400_000] {
        let body: Value = json!({
            "model": "m", "prompt": "a".repeat(prompt_bytes), "max_tokens": 4, "stream": true,
        });
        let body = body.to_string().into_bytes();
        let path = "/v1/completions";
        let direct = fleet
            .time(&format!("http://{}{path}", fleet.engine), &body)
            .await?;
        let through = format!("http://{}{path}", fleet.entries[0].1);
        let through = fleet.time(&through, &body).await?;
        let both =
            |times: &Histogram<u64>| [times.value_at_quantile(0.5), times.value_at_quantile(0.99)];
        let (direct_us, through_us) = (both(&direct), both(&through));
        let added = |index: usize| -> anyhow::Result<i64> {
            Ok(i64::try_from(through_us[index])? - i64::try_from(direct_us[index])?)
        };
        rows.push(LatencyRow {
            prompt_bytes,
            requests: REQUESTS,
            direct_us,
            through_us,
            added_us: [added(0)?, added(1)?],
            ratio_p50: as_float(through_us[0]) / as_float(direct_us[0].max(1)),
        });
    }
    Ok(rows)
}

/// Measures what idle instances cost, by number of members.
pub(crate) async fn idle(program: &Path) -> anyhow::Result<Vec<IdleRow>> {
    let mut rows = Vec::new();
    for members in [1, 3, 9] {
        rows.push(idle_row(members, program).await?);
    }
    Ok(rows)
}

async fn idle_row(members: usize, program: &Path) -> anyhow::Result<IdleRow> {
    let fleet = MeasuredFleet::start(members, program).await?;
    // Joining and the first lists are not what an idle instance costs.
    sleep(Millis(4_000)).await;
    let messages = "jackdawpoint_peer_messages_total";
    let calls = "jackdawpoint_platform_calls_total";
    let before = (
        fleet.metric(0, messages).await?,
        fleet.metric(0, calls).await?,
    );
    let ticks = processor_ticks(&fleet);
    sleep(Millis(u32::try_from(IDLE_SECONDS * 1_000)?)).await;
    let ticks = processor_ticks(&fleet) - ticks;
    let after = (
        fleet.metric(0, messages).await?,
        fleet.metric(0, calls).await?,
    );
    let seconds = as_float(IDLE_SECONDS);
    let count = as_float(members as u64);
    let resident: u64 = fleet
        .entries
        .iter()
        .map(|(child, ..)| resident_bytes(&child.id().to_string()))
        .sum();
    Ok(IdleRow {
        members,
        seconds: IDLE_SECONDS,
        core_percent: as_float(ticks) / TICKS_A_SECOND / seconds / count * 100.0,
        resident_mb: as_float(resident) / count / 1_048_576.0,
        peer_messages_a_second: (after.0 - before.0) / seconds,
        platform_calls_a_second: (after.1 - before.1) / seconds,
    })
}

/// Clock ticks a second in which Linux counts processor time.
const TICKS_A_SECOND: f64 = 100.0;

fn processor_ticks(fleet: &MeasuredFleet) -> u64 {
    let ticks = fleet.entries.iter().map(|(child, ..)| {
        let path = format!("/proc/{}/stat", child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
        // User and system time are the 14th and 15th field, the 12th and 13th after the name.
        let field = |index: usize| fields.get(index).and_then(|text| text.parse().ok());
        field(11).unwrap_or(0_u64) + field(12).unwrap_or(0_u64)
    });
    ticks.sum()
}
