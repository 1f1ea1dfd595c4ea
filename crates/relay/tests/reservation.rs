//! Memory reservations on several engines: all parts are reserved or none, and all are released.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jackdawpoint_relay::{MemoryClient, MemoryReservation, ReleaseOutcome, ReserveOutcome};
use policy::dispatch::placement::{EndpointTarget, HelperGrant};
use policy::ids::EndpointId;
use tokio::time::Instant;

/// How an engine handles requests to reserve memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineBehaviour {
    Accepts,
    Full,
    /// Reserves the memory, but the answer is lost.
    LosesAnswers,
    /// Reserves the memory five seconds later, and the answer is lost.
    DelaysAndLosesAnswers,
    /// Reserves the memory, but only every third request is answered.
    AnswersEveryThird,
}

#[derive(Default)]
struct ReservationTable {
    /// Expiry of each reservation.
    active: BTreeMap<(SocketAddr, String), Instant>,
    requests: usize,
}

struct FakeEngines {
    behaviours: Vec<EngineBehaviour>,
    table: Rc<RefCell<ReservationTable>>,
}

fn address(index: usize) -> SocketAddr {
    let last = u8::try_from(index).expect("few engines");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 80)
}

impl FakeEngines {
    fn behaviour(&self, at: SocketAddr) -> EngineBehaviour {
        let index = (0..self.behaviours.len()).find(|index| address(*index) == at);
        self.behaviours[index.expect("an engine of this test")]
    }
}

impl MemoryClient for FakeEngines {
    fn reserve<'a>(
        &'a self,
        engine: &'a EndpointTarget,
        id: &'a str,
        _tokens: u64,
        ttl: u64,
    ) -> LocalBoxFuture<'a, ReserveOutcome> {
        let at = engine.address;
        let behaviour = self.behaviour(at);
        let table = Rc::clone(&self.table);
        let key = (at, id.to_owned());
        async move {
            table.borrow_mut().requests += 1;
            let requests = table.borrow().requests;
            let ttl = Duration::from_millis(ttl);
            match behaviour {
                EngineBehaviour::Full => return ReserveOutcome::Refused,
                EngineBehaviour::DelaysAndLosesAnswers => {
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_secs(5)).await;
                        table.borrow_mut().active.insert(key, Instant::now() + ttl);
                    });
                    return ReserveOutcome::Unanswered;
                }
                EngineBehaviour::Accepts
                | EngineBehaviour::LosesAnswers
                | EngineBehaviour::AnswersEveryThird => {}
            }
            table.borrow_mut().active.insert(key, Instant::now() + ttl);
            let loses_answer = behaviour == EngineBehaviour::LosesAnswers
                || (behaviour == EngineBehaviour::AnswersEveryThird && !requests.is_multiple_of(3));
            if loses_answer {
                ReserveOutcome::Unanswered
            } else {
                ReserveOutcome::Reserved
            }
        }
        .boxed_local()
    }

    fn release<'a>(
        &'a self,
        engine: &'a EndpointTarget,
        id: &'a str,
    ) -> LocalBoxFuture<'a, ReleaseOutcome> {
        let key = (engine.address, id.to_owned());
        async move {
            self.table.borrow_mut().active.remove(&key);
            ReleaseOutcome::Released
        }
        .boxed_local()
    }
}

fn helpers(count: usize) -> Vec<HelperGrant> {
    let helper = |index: usize| HelperGrant {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: address(index),
        },
        reserved_tokens: 1_000,
    };
    (0..count).map(helper).collect()
}

/// Number of reservations that have not expired.
fn active(table: &RefCell<ReservationTable>) -> usize {
    let now = Instant::now();
    let table = table.borrow();
    table
        .active
        .values()
        .filter(|expiry| **expiry > now)
        .count()
}

const TTL_MS: u64 = 3_600;

#[tokio::test(start_paused = true)]
async fn all_parts_are_reserved_or_none_and_all_are_released() {
    struct Case {
        name: &'static str,
        behaviours: &'static [EngineBehaviour],
        is_reserved: bool,
    }
    use EngineBehaviour::{Accepts, DelaysAndLosesAnswers, Full, LosesAnswers};
    let cases = [
        Case {
            name: "all accept",
            behaviours: &[Accepts, Accepts, Accepts],
            is_reserved: true,
        },
        Case {
            name: "one is full",
            behaviours: &[Accepts, Full, Accepts],
            is_reserved: false,
        },
        Case {
            name: "one loses answers",
            behaviours: &[Accepts, Accepts, LosesAnswers],
            is_reserved: false,
        },
        Case {
            name: "one delays requests and loses answers",
            behaviours: &[DelaysAndLosesAnswers, Accepts, Accepts],
            is_reserved: false,
        },
    ];
    for case in cases {
        tokio::task::LocalSet::new()
            .run_until(async {
                let table = Rc::new(RefCell::new(ReservationTable::default()));
                let client: Rc<dyn MemoryClient> = Rc::new(FakeEngines {
                    behaviours: case.behaviours.to_vec(),
                    table: Rc::clone(&table),
                });
                let reservation = MemoryReservation::reserve(
                    &client,
                    "run",
                    &helpers(case.behaviours.len()),
                    TTL_MS,
                )
                .await;
                assert_eq!(reservation.is_ok(), case.is_reserved, "{}", case.name);
                if let Ok(reservation) = reservation {
                    assert_eq!(active(&table), case.behaviours.len(), "{}", case.name);
                    // The reservation is renewed while it is in use.
                    tokio::time::sleep(Duration::from_secs(30)).await;
                    assert_eq!(
                        active(&table),
                        case.behaviours.len(),
                        "{} after 30 s",
                        case.name
                    );
                    drop(reservation);
                }
                // The platform allows four seconds after the last use.
                for second in 1..20 {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    let late = case.behaviours.contains(&DelaysAndLosesAnswers)
                        && (5..9).contains(&second);
                    assert!(
                        late || active(&table) == 0,
                        "{} after {second} s",
                        case.name
                    );
                }
            })
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_renewal_is_retried() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let table = Rc::new(RefCell::new(ReservationTable::default()));
            let client: Rc<dyn MemoryClient> = Rc::new(FakeEngines {
                behaviours: vec![EngineBehaviour::AnswersEveryThird],
                table: Rc::clone(&table),
            });
            table.borrow_mut().requests = 2;
            let reservation = MemoryReservation::reserve(&client, "run", &helpers(1), TTL_MS).await;
            let reservation = reservation.expect("the third request is answered");
            for _ in 0..60 {
                tokio::time::sleep(Duration::from_millis(500)).await;
                assert_eq!(active(&table), 1);
            }
            drop(reservation);
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(active(&table), 0);
        })
        .await;
}
