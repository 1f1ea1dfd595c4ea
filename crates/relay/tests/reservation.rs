//! Memory reserved on several engines: all parts or none, released on every way out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use jackdawpoint_relay::{MemoryHold, MemoryPort, ReleaseVerdict, ReserveVerdict};
use policy::dispatch::placement::{EndpointTarget, HelperGrant};
use policy::ids::EndpointId;
use tokio::time::Instant;

/// How an engine treats orders to reserve memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineMood {
    Willing,
    Full,
    /// Carries orders out and loses the answers.
    Mute,
    /// Loses the answers and carries orders out five seconds later.
    Late,
    /// Answers only every third order.
    Shaky,
}

#[derive(Default)]
struct MemoryTable {
    /// When each reservation ends.
    held: BTreeMap<(SocketAddr, String), Instant>,
    orders: usize,
}

struct FakeEngines {
    moods: Vec<EngineMood>,
    table: Rc<RefCell<MemoryTable>>,
}

fn address(index: usize) -> SocketAddr {
    let last = u8::try_from(index).expect("few engines");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 80)
}

impl FakeEngines {
    fn mood(&self, at: SocketAddr) -> EngineMood {
        let index = (0..self.moods.len()).find(|index| address(*index) == at);
        self.moods[index.expect("a known engine")]
    }
}

impl MemoryPort for FakeEngines {
    fn reserve<'a>(
        &'a self,
        at: SocketAddr,
        id: &'a str,
        _tokens: u64,
        hold: u64,
    ) -> LocalBoxFuture<'a, ReserveVerdict> {
        let mood = self.mood(at);
        let table = Rc::clone(&self.table);
        let key = (at, id.to_owned());
        async move {
            table.borrow_mut().orders += 1;
            let orders = table.borrow().orders;
            let hold = Duration::from_millis(hold);
            match mood {
                EngineMood::Full => return ReserveVerdict::Refused,
                EngineMood::Late => {
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_secs(5)).await;
                        table.borrow_mut().held.insert(key, Instant::now() + hold);
                    });
                    return ReserveVerdict::Unanswered;
                }
                EngineMood::Willing | EngineMood::Mute | EngineMood::Shaky => {}
            }
            table.borrow_mut().held.insert(key, Instant::now() + hold);
            let is_mute = mood == EngineMood::Mute
                || (mood == EngineMood::Shaky && !orders.is_multiple_of(3));
            if is_mute {
                ReserveVerdict::Unanswered
            } else {
                ReserveVerdict::Reserved
            }
        }
        .boxed_local()
    }

    fn release<'a>(&'a self, at: SocketAddr, id: &'a str) -> LocalBoxFuture<'a, ReleaseVerdict> {
        let key = (at, id.to_owned());
        async move {
            self.table.borrow_mut().held.remove(&key);
            ReleaseVerdict::Released
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

/// Reservations that have not ended.
fn held(table: &RefCell<MemoryTable>) -> usize {
    let now = Instant::now();
    let table = table.borrow();
    table.held.values().filter(|ends| **ends > now).count()
}

const HOLD: u64 = 3_600;

#[tokio::test(start_paused = true)]
async fn parts_are_reserved_together_and_none_is_left_behind() {
    struct Case {
        name: &'static str,
        moods: &'static [EngineMood],
        is_reserved: bool,
    }
    use EngineMood::{Full, Late, Mute, Willing};
    let cases = [
        Case {
            name: "all willing",
            moods: &[Willing, Willing, Willing],
            is_reserved: true,
        },
        Case {
            name: "one is full",
            moods: &[Willing, Full, Willing],
            is_reserved: false,
        },
        Case {
            name: "one loses answers",
            moods: &[Willing, Willing, Mute],
            is_reserved: false,
        },
        Case {
            name: "one is late",
            moods: &[Late, Willing, Willing],
            is_reserved: false,
        },
    ];
    for case in cases {
        tokio::task::LocalSet::new()
            .run_until(async {
                let table = Rc::new(RefCell::new(MemoryTable::default()));
                let port: Rc<dyn MemoryPort> = Rc::new(FakeEngines {
                    moods: case.moods.to_vec(),
                    table: Rc::clone(&table),
                });
                let hold =
                    MemoryHold::reserve(&port, "run", &helpers(case.moods.len()), HOLD).await;
                assert_eq!(hold.is_ok(), case.is_reserved, "{}", case.name);
                if let Ok(hold) = hold {
                    assert_eq!(held(&table), case.moods.len(), "{}", case.name);
                    // Renewed while it is in use.
                    tokio::time::sleep(Duration::from_secs(30)).await;
                    assert_eq!(held(&table), case.moods.len(), "{} after 30 s", case.name);
                    drop(hold);
                }
                // Four seconds is what the platform allows after the last use.
                for second in 1..20 {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    let late = case.moods.contains(&Late) && (5..9).contains(&second);
                    assert!(late || held(&table) == 0, "{} after {second} s", case.name);
                }
            })
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_renewal_without_an_answer_is_tried_again() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let table = Rc::new(RefCell::new(MemoryTable::default()));
            let port: Rc<dyn MemoryPort> = Rc::new(FakeEngines {
                moods: vec![EngineMood::Shaky],
                table: Rc::clone(&table),
            });
            table.borrow_mut().orders = 2;
            let hold = MemoryHold::reserve(&port, "run", &helpers(1), HOLD).await;
            let hold = hold.expect("the third order is answered");
            for _ in 0..60 {
                tokio::time::sleep(Duration::from_millis(500)).await;
                assert_eq!(held(&table), 1);
            }
            drop(hold);
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(held(&table), 0);
        })
        .await;
}
