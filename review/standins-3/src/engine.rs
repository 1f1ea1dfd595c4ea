//! A model worker with memory that can be reserved.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::Json;
use crate::record::Record;
use crate::worker::{head, write};

/// Memory that is set aside under an id.
struct Ticket {
    expires: Instant,
}

/// When the memory of a ticket was set aside, and when the last request that used it ended.
#[derive(Default, Clone)]
pub struct TicketHistory {
    pub last_end: Option<Instant>,
    pub uses: usize,
    /// Whether a request uses it now.
    pub in_use: usize,
    /// Spans in which it was set aside.
    pub held: Vec<(Instant, Instant)>,
}

#[derive(Default)]
struct Memory {
    tickets: BTreeMap<String, Ticket>,
    histories: BTreeMap<String, TicketHistory>,
}

/// The memory of all workers of a case.
#[derive(Clone)]
pub struct Memories {
    state: Arc<Mutex<Memory>>,
    record: Record,
}

impl Memories {
    pub fn new(record: &Record) -> Self {
        let memories = Self {
            state: Arc::default(),
            record: record.clone(),
        };
        let watched = memories.clone();
        thread::spawn(move || {
            loop {
                watched.observe();
                thread::sleep(Duration::from_millis(20));
            }
        });
        memories
    }

    /// Ends what has expired, and notes what is set aside now.
    fn observe(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().expect("sound");
        let Memory { tickets, histories } = &mut *state;
        tickets.retain(|id, ticket| {
            let is_held = now < ticket.expires;
            if !is_held {
                self.record.line(&format!("memory {id} expires"));
            }
            is_held
        });
        for id in tickets.keys() {
            let history = histories.entry(id.clone()).or_default();
            match history.held.last_mut() {
                Some(last) if now - last.1 < Duration::from_millis(200) => last.1 = now,
                _ => history.held.push((now, now)),
            }
        }
    }

    /// Carries out an order and returns the status of its answer.
    pub fn carry_out(&self, worker: &str, order: &Json) -> u16 {
        let id = format!("{worker}/{}", order.get("id").map_or("", Json::text));
        let mut state = self.state.lock().expect("sound");
        match order.get("op").map_or("", Json::text) {
            "reserve" => {
                let hold = Duration::from_millis(order.get("holdMs").map_or(0, Json::number));
                let expires = Instant::now() + hold;
                let former = state.tickets.insert(id.clone(), Ticket { expires });
                let op = if former.is_some() {
                    "renewed"
                } else {
                    "set aside"
                };
                self.record.line(&format!("memory {id} {op} for {hold:?}"));
                200
            }
            "release" => {
                let former = state.tickets.remove(&id);
                if former.is_some() {
                    self.record.line(&format!("memory {id} released"));
                }
                200
            }
            _ => 400,
        }
    }

    /// Answers an order at once.
    pub fn answer_order(&self, worker: &str, request: &Request, writer: &mut TcpStream) -> bool {
        let status = self.carry_out(worker, &order_of(request));
        write_order_answer(writer, status)
    }

    pub fn begin_use(&self, id: &str) {
        let mut state = self.state.lock().expect("sound");
        let history = state.histories.entry(id.to_owned()).or_default();
        history.uses += 1;
        history.in_use += 1;
    }

    pub fn end_use(&self, id: &str) {
        let mut state = self.state.lock().expect("sound");
        let history = state.histories.entry(id.to_owned()).or_default();
        history.in_use -= 1;
        history.last_end = Some(Instant::now());
    }

    pub fn histories(&self) -> BTreeMap<String, TicketHistory> {
        self.state.lock().expect("sound").histories.clone()
    }
}

impl TicketHistory {
    /// The longest span in which the memory was set aside and no request used it before or during it.
    pub fn longest_idle(&self) -> Duration {
        if self.uses > 0 {
            return Duration::ZERO;
        }
        let spans = self.held.iter().map(|(from, to)| *to - *from);
        spans.max().unwrap_or_default()
    }

    /// The longest span in which the memory was set aside later than `free` after the end of the last
    /// request that used it.
    pub fn longest_leak(&self, free: Duration) -> Duration {
        let Some(end) = self.last_end.filter(|_| self.in_use == 0) else {
            return Duration::ZERO;
        };
        let due = end + free;
        let spans = self.held.iter();
        let beyond = spans.map(|(from, to)| to.saturating_duration_since((*from).max(due)));
        beyond.max().unwrap_or_default()
    }
}

pub fn order_of(request: &Request) -> Json {
    Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null)
}

pub fn write_order_answer(writer: &mut TcpStream, status: u16) -> bool {
    let body = r#"{"free":100000}"#;
    let lines = format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    write(writer, &(head(status, "", &lines) + body))
}

/// Answers `GET /report`.
pub fn answer_report(writer: &mut TcpStream) -> bool {
    let body = r#"{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":1,"kvUsed":0,"kvTotal":100000,"handles":0,"pace":1}"#;
    let lines = format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    write(writer, &(head(200, "", &lines) + body))
}

/// The tickets that a request names in `Helpers`, as `address/id`.
pub fn helpers(request: &Request) -> Vec<(String, String)> {
    let helpers = request.header("helpers").unwrap_or("");
    let entries = helpers
        .split(',')
        .filter_map(|entry| entry.trim().split_once('/'));
    entries
        .map(|(address, id)| (address.to_owned(), id.to_owned()))
        .collect()
}
