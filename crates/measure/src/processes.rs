//! Measurements of real instances on loopback: the latency that an instance adds, and the cost of
//! idle instances.

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
use crate::workload::u64_to_f64;

/// Latency of complete short answers, through an instance and directly from the engine. Each pair
/// is the median and the 99th percentile in microseconds.
#[derive(Debug, Serialize)]
pub(crate) struct LatencyRow {
    prompt_bytes: usize,
    requests: usize,
    direct_us: [u64; 2],
    through_us: [u64; 2],
    added_us: [i64; 2],
    ratio_p50: f64,
}

/// Cost of an idle instance, by number of members in the fleet.
#[derive(Debug, Serialize)]
pub(crate) struct IdleRow {
    members: usize,
    seconds: u64,
    /// CPU time of one instance, in percent of one core.
    core_percent: f64,
    /// Resident memory of one instance, in MiB.
    resident_mb: f64,
    peer_messages_a_second: f64,
    platform_calls_a_second: f64,
}

const API_KEY: &str = "measure-key";
const REQUESTS: usize = 500;
const IDLE_SECONDS: u64 = 8;
const MAX_RECORDED_MICROS: u64 = 60_000_000;

struct MeasuredFleet {
    /// Process, callers' address and operators' address of each instance.
    entries: Vec<(Child, SocketAddr, SocketAddr)>,
    engine: SocketAddr,
    client: HttpClient,
    folder: PathBuf,
}

impl Drop for MeasuredFleet {
    fn drop(&mut self) {
        for (child, ..) in &mut self.entries {
            // The process may have ended already.
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
            client: HttpClient::new(ExchangeLimits::default()).await,
            folder,
        };
        let addresses = (0..members * 3)
            .map(|_| free_address())
            .collect::<anyhow::Result<Vec<_>>>()?;
        let peers: Vec<_> = addresses.chunks(3).map(|listen| listen[2]).collect();
        for (number, listen) in addresses.chunks(3).enumerate() {
            let settings = json!({
                "instance": format!("m-{number}"),
                "failure_domain": "m",
                "listen": { "callers": listen[0], "operators": listen[1], "peers": listen[2] },
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
            fleet.entries.push((child, listen[0], listen[1]));
        }
        fleet.configure().await?;
        Ok(fleet)
    }

    async fn send(&self, method: Method, url: &str, body: Vec<u8>) -> anyhow::Result<Bytes> {
        let request = self
            .client
            .request(method, url)
            .content_type("application/json")
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-attempt", format!("{:032x}-1", 1))
            .header("x-owner", "measure/1");
        let answer = self.client.send(request, Bytes::from(body)).await;
        let answer = answer.map_err(|error| anyhow::anyhow!("{url}: {error:?}"))?;
        ensure!(answer.status().is_success(), "{url}: {}", answer.status());
        let body = self.client.read_body(&answer).await;
        body.map_err(|error| anyhow::anyhow!("{url}: {error:?}"))
    }

    async fn configure(&self) -> anyhow::Result<()> {
        for (_, callers, _) in &self.entries {
            let url = format!("http://{callers}/ready");
            let mut attempts = 0;
            while self.send(Method::GET, &url, Vec::new()).await.is_err() {
                attempts += 1;
                ensure!(
                    attempts < 500,
                    "the instance at {callers} did not become ready"
                );
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
            let document = json!({ "body": body }).to_string();
            self.send(Method::PUT, &url, document.into_bytes()).await?;
        }
        Ok(())
    }

    /// Sends `REQUESTS` requests one after the other, after a warm-up of a tenth as many, and
    /// returns their times in microseconds.
    async fn measure_times(&self, url: &str, body: &[u8]) -> anyhow::Result<Histogram<u64>> {
        let mut times = Histogram::new_with_max(MAX_RECORDED_MICROS, 3)?;
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

    async fn read_metric(&self, number: usize, name: &str) -> anyhow::Result<f64> {
        let url = format!("http://{}/metrics", self.entries[number].1);
        let text = self.send(Method::GET, &url, Vec::new()).await?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(value
            .context("the instance does not report the metric")?
            .parse()?)
    }
}

/// Measures the latency that an instance adds, by size of the prompt.
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
            .measure_times(&format!("http://{}{path}", fleet.engine), &body)
            .await?;
        let through = format!("http://{}{path}", fleet.entries[0].1);
        let through = fleet.measure_times(&through, &body).await?;
        let percentiles =
            |times: &Histogram<u64>| [times.value_at_quantile(0.5), times.value_at_quantile(0.99)];
        let (direct_us, through_us) = (percentiles(&direct), percentiles(&through));
        let added = |index: usize| -> anyhow::Result<i64> {
            Ok(i64::try_from(through_us[index])? - i64::try_from(direct_us[index])?)
        };
        rows.push(LatencyRow {
            prompt_bytes,
            requests: REQUESTS,
            direct_us,
            through_us,
            added_us: [added(0)?, added(1)?],
            ratio_p50: u64_to_f64(through_us[0]) / u64_to_f64(direct_us[0].max(1)),
        });
    }
    Ok(rows)
}

/// Measures the cost of idle instances, by number of members.
pub(crate) async fn idle(program: &Path) -> anyhow::Result<Vec<IdleRow>> {
    let mut rows = Vec::new();
    for members in [1, 3, 9] {
        rows.push(idle_row(members, program).await?);
    }
    Ok(rows)
}

async fn idle_row(members: usize, program: &Path) -> anyhow::Result<IdleRow> {
    let fleet = MeasuredFleet::start(members, program).await?;
    // The cost of joining and of the first lists is not part of an idle instance's cost.
    sleep(Millis(4_000)).await;
    let messages = "jackdawpoint_peer_messages_total";
    let calls = "jackdawpoint_platform_calls_total";
    let before = (
        fleet.read_metric(0, messages).await?,
        fleet.read_metric(0, calls).await?,
    );
    let ticks = cpu_ticks(&fleet);
    sleep(Millis(u32::try_from(IDLE_SECONDS * 1_000)?)).await;
    let ticks = cpu_ticks(&fleet) - ticks;
    let after = (
        fleet.read_metric(0, messages).await?,
        fleet.read_metric(0, calls).await?,
    );
    let seconds = u64_to_f64(IDLE_SECONDS);
    let count = u64_to_f64(members as u64);
    let resident: u64 = fleet
        .entries
        .iter()
        .map(|(child, ..)| resident_bytes(&child.id().to_string()))
        .sum();
    Ok(IdleRow {
        members,
        seconds: IDLE_SECONDS,
        core_percent: u64_to_f64(ticks) / CLOCK_TICKS_PER_SECOND / seconds / count * 100.0,
        resident_mb: u64_to_f64(resident) / count / 1_048_576.0,
        peer_messages_a_second: (after.0 - before.0) / seconds,
        platform_calls_a_second: (after.1 - before.1) / seconds,
    })
}

/// Clock ticks per second in which Linux counts CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn cpu_ticks(fleet: &MeasuredFleet) -> u64 {
    let ticks = fleet.entries.iter().map(|(child, ..)| {
        let path = format!("/proc/{}/stat", child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
        // User and system time are fields 14 and 15 of the line, 12 and 13 after the program name.
        let field = |index: usize| fields.get(index).and_then(|text| text.parse().ok());
        field(11).unwrap_or(0_u64) + field(12).unwrap_or(0_u64)
    });
    ticks.sum()
}
