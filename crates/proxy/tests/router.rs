//! Routing of units whose group's home vm is silent, slow or cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::configuration::Configuration;
use mustardbay_proxy::configuration::GroupLimits;
use mustardbay_proxy::configuration::Version;
use mustardbay_proxy::entry::Router;
use mustardbay_proxy::fleet::Incarnation;
use mustardbay_proxy::fleet::Member;
use mustardbay_proxy::latest_view::FleetView;
use mustardbay_proxy::latest_view::LatestView;
use mustardbay_proxy::link::Ask;
use mustardbay_proxy::link::AskBody;
use mustardbay_proxy::link::Link;
use mustardbay_proxy::link::Links;
use mustardbay_proxy::link::Reply;
use mustardbay_proxy::link::ReplyBody;
use mustardbay_proxy::platform::Era;
use mustardbay_proxy::pool::Cause;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::pool::Refusal;
use mustardbay_proxy::snapshot::Snapshot;
use mustardbay_proxy::work::AllowedDomains;
use mustardbay_proxy::work::Answer;
use mustardbay_proxy::work::Code;
use mustardbay_proxy::work::DatedPosition;
use mustardbay_proxy::work::Guarantee;
use mustardbay_proxy::work::LogPosition;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::TransactionState;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;
use test_case::test_case;
use tokio::net::TcpListener;

/// Time within which a unit must be served although its home is silent.
///
/// It covers the shortest objective of 150 ms and a statement's time, with slack for a busy
/// machine.
const MAX_FAILOVER_TIME: Duration = Duration::from_millis(350);
/// Delay of a slow vm's answers.
const SLOW_DELAY: Duration = Duration::from_millis(300);
const VM_COUNT: usize = 6;

/// Behavior of a simulated vm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// It answers at once.
    Healthy,
    /// It accepts connections and never answers.
    Silent,
    /// It answers everything after [`SLOW_DELAY`].
    Slow,
    /// It refuses units because it knows no primary.
    Refusing,
}

/// Simulated remote vm.
#[derive(Debug, Clone)]
struct Vm {
    address: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    submitted: Arc<Mutex<Vec<WorkUnit>>>,
}

impl Vm {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let vm = Self {
            address: listener.local_addr().expect("bound"),
            behavior: Arc::new(Mutex::new(Behavior::Healthy)),
            submitted: Arc::default(),
        };
        let serving = vm.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let vm = serving.clone();
                tokio::spawn(async move { vm.serve(stream).await });
            }
        });
        vm
    }

    async fn serve(&self, stream: tokio::net::TcpStream) {
        let (mut sink, mut asks) = mustardbay_wire::framed::<_, Reply, Ask>(stream).split();
        while let Some(Ok(ask)) = asks.next().await {
            let behavior = self.behavior();
            let body = match ask.body {
                Some(AskBody::Submit(unit)) => {
                    self.submitted.lock().expect("not poisoned").push(unit);
                    match behavior {
                        Behavior::Refusing => {
                            ReplyBody::Refused(Refusal::new(Cause::NoPrimary, 50))
                        }
                        Behavior::Healthy | Behavior::Silent | Behavior::Slow => {
                            ReplyBody::Answer(answer())
                        }
                    }
                }
                Some(AskBody::Ping(ping)) => ReplyBody::Pong(ping),
                _ => continue,
            };
            match behavior {
                Behavior::Silent => continue,
                Behavior::Slow => tokio::time::sleep(SLOW_DELAY).await,
                Behavior::Healthy | Behavior::Refusing => {}
            }
            let number = ask.number;
            let reply = Reply {
                number,
                body: Some(body),
            };
            if sink.send(reply).await.is_err() {
                return;
            }
        }
    }

    fn behavior(&self) -> Behavior {
        *self.behavior.lock().expect("not poisoned")
    }

    fn set(&self, behavior: Behavior) {
        *self.behavior.lock().expect("not poisoned") = behavior;
    }

    fn submitted(&self) -> usize {
        self.submitted.lock().expect("not poisoned").len()
    }
}

fn answer() -> Answer {
    let primary = DatedPosition {
        position: LogPosition { term: 1, index: 7 },
        age_ms: 20,
    };
    Answer {
        primary: Some(primary),
        ..Answer::failed(Code::Failed, "it ran here", TransactionState::Idle)
    }
}

/// Router and vms in three domains, with two groups whose home vms share a domain.
struct RouterFixture {
    router: Router,
    vms: BTreeMap<VmName, Vm>,
    ranks: BTreeMap<String, Vec<VmName>>,
    groups: [String; 2],
}

impl RouterFixture {
    async fn start() -> Self {
        let mut vms = BTreeMap::new();
        let mut members = Vec::new();
        for index in 0..VM_COUNT {
            let name = VmName::from(format!("vm{index}"));
            let vm = Vm::start().await;
            members.push(member(&name, vm.address, index));
            vms.insert(name, vm);
        }
        let latest_view = Arc::new(LatestView::default());
        latest_view.adopt(view(members));
        let (own, _asks) = Link::new();
        let me = VmName::from("me");
        let links = Arc::new(Links::new(me.clone(), Arc::new(own)));
        let assignment = latest_view.assignment().expect("there are members");
        let mut ranks = BTreeMap::new();
        let mut homes: BTreeMap<DomainName, Vec<String>> = BTreeMap::new();
        for group in group_names() {
            let candidates = assignment
                .ranking(&GroupName::from(group.as_str()))
                .candidates(&me);
            homes
                .entry(candidates[0].domain.clone())
                .or_default()
                .push(group.clone());
            ranks.insert(
                group,
                candidates.into_iter().map(|m| m.vm).collect::<Vec<_>>(),
            );
        }
        let shared = homes.into_values().find_map(|groups| {
            let (first, second) = (groups.first()?, groups.get(1)?);
            let differ = ranks[first][0] != ranks[second][0];
            differ.then(|| [first.clone(), second.clone()])
        });
        Self {
            router: Router::new(me, latest_view, links),
            vms,
            ranks,
            groups: shared.expect("two homes in one domain"),
        }
    }

    /// Returns the vm at a rank of a group's candidates.
    fn at(&self, group: usize, rank: usize) -> &Vm {
        &self.vms[&self.ranks[&self.groups[group]][rank]]
    }

    async fn run(&self, group: usize, verb: Verb, begin: Option<Verb>) -> (Outcome, Duration) {
        let unit = unit(&self.groups[group], verb, begin);
        let sent = Instant::now();
        let (outcome, _) = self.router.run(unit).await;
        (outcome, sent.elapsed())
    }
}

fn group_names() -> impl Iterator<Item = String> {
    (0..VM_COUNT).map(|index| format!("g{index}"))
}

fn member(vm: &VmName, address: SocketAddr, index: usize) -> Member {
    Member {
        vm: vm.clone(),
        address,
        domain: DomainName::from(format!("d{}", index % 3)),
        incarnation: Incarnation(1),
        weight: 100,
    }
}

fn view(members: Vec<Member>) -> FleetView {
    let limits = GroupLimits {
        connections: 20,
        sync_replicas: 0,
        cold_rate: 0,
    };
    let groups = group_names().map(|name| (GroupName::from(name.as_str()), limits));
    let configuration = Configuration {
        version: Version(1),
        routes: BTreeMap::new(),
        accounts: BTreeMap::new(),
        account_regions: BTreeMap::new(),
        keys: BTreeMap::new(),
        groups: groups.collect(),
        transaction_idle: Duration::from_secs(3),
    };
    let snapshot = Snapshot {
        configuration: Arc::new(configuration),
        upstreams: Arc::default(),
        members: Arc::new(members),
        evacuated: Arc::default(),
        era: Era(1),
    };
    FleetView {
        fingerprint: snapshot.fingerprint().expect("it can be encoded"),
        snapshot,
        asked: BootInstant::now(),
        settled: false,
    }
}

fn unit(group: &str, verb: Verb, begin: Option<Verb>) -> WorkUnit {
    WorkUnit {
        statement: Statement::new("s".to_owned(), verb, "item".to_owned()),
        begin: begin.map(|verb| Statement::new("b".to_owned(), verb, String::new())),
        account: "a".to_owned(),
        group: group.to_owned(),
        left_ms: 800,
        objective_ms: 150,
        ..WorkUnit::default()
    }
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if answer.failure() == Some(Code::Failed))
}

/// A domain is cut off under load: a unit without a lasting effect is soon served elsewhere.
#[test_case(Verb::Read, None; "read")]
#[test_case(Verb::Write, Some(Verb::Begin); "first_write_of_a_transaction")]
#[tokio::test]
async fn run_silent_home_is_passed_over(verb: Verb, begin: Option<Verb>) {
    let fixture = RouterFixture::start().await;
    assert!(
        is_answered(&fixture.run(0, verb, begin).await.0),
        "the link is open"
    );
    fixture.at(0, 0).set(Behavior::Silent);
    let (outcome, took) = fixture.run(0, verb, begin).await;
    assert!(is_answered(&outcome), "{outcome:?}");
    assert!(took < MAX_FAILOVER_TIME, "{took:?}");
    assert_eq!(fixture.at(0, 1).submitted(), 1);
    let (_, again) = fixture.run(0, verb, begin).await;
    assert!(
        again < Duration::from_millis(100),
        "the home is known to be silent: {again:?}"
    );
}

/// Once a domain is suspect, a ping decides quickly that another of its vms is silent.
#[tokio::test]
async fn run_other_home_of_a_silent_domain_is_suspect() {
    let fixture = RouterFixture::start().await;
    for group in [0, 1] {
        assert!(is_answered(&fixture.run(group, Verb::Read, None).await.0));
        fixture.at(group, 0).set(Behavior::Silent);
    }
    fixture.run(0, Verb::Read, None).await;
    let (outcome, took) = fixture.run(1, Verb::Write, None).await;
    assert!(is_answered(&outcome), "{outcome:?}");
    assert!(took < Duration::from_millis(110), "{took:?}");
    assert_eq!(
        fixture.at(1, 0).submitted(),
        1,
        "the write was not sent to a silent vm"
    );
}

/// A single write may have run on the silent home, so it is never started elsewhere.
#[tokio::test]
async fn run_single_write_at_a_silent_home_is_in_doubt() {
    let fixture = RouterFixture::start().await;
    fixture.run(0, Verb::Read, None).await;
    fixture.at(0, 0).set(Behavior::Silent);
    let (outcome, _) = fixture.run(0, Verb::Write, None).await;
    let Outcome::Answered(answer) = &outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(answer.failure(), Some(Code::InDoubt));
    assert_eq!(
        fixture.at(0, 1).submitted() + fixture.at(0, 2).submitted(),
        0
    );
}

/// The home is slow and no other vm can serve the unit: its late answer is delivered.
#[tokio::test]
async fn run_slow_home_is_waited_for_if_no_other_serves() {
    let fixture = RouterFixture::start().await;
    fixture.run(0, Verb::Read, None).await;
    for rank in [1, 2] {
        fixture.at(0, rank).set(Behavior::Refusing);
    }
    fixture.at(0, 0).set(Behavior::Slow);
    let (outcome, took) = fixture.run(0, Verb::Read, None).await;
    assert!(is_answered(&outcome), "{outcome:?}");
    assert!(took >= SLOW_DELAY, "{took:?}");
}

/// An answer of the home carries the primary's position: a fallback vm receives it while fresh.
#[test_case(Guarantee::BoundedStaleness, 600, Some(7); "read_of_a_bounded_age")]
#[test_case(Guarantee::BoundedStaleness, 25, None; "read_that_must_be_fresher")]
#[test_case(Guarantee::Primary, 600, None; "read_at_the_primary")]
#[tokio::test]
async fn run_fallback_vm_receives_a_fresh_position(
    guarantee: Guarantee,
    staleness_ms: u32,
    expected: Option<u64>,
) {
    let fixture = RouterFixture::start().await;
    fixture.run(0, Verb::Read, None).await;
    fixture.at(0, 0).set(Behavior::Refusing);
    let read = WorkUnit {
        guarantee: guarantee.into(),
        staleness_ms,
        ..unit(&fixture.groups[0], Verb::Read, None)
    };
    let (outcome, _) = fixture.router.run(read).await;
    assert!(is_answered(&outcome), "{outcome:?}");
    let submitted = fixture.at(0, 1).submitted.lock().expect("not poisoned");
    let received = submitted[0].fresh_position.map(|position| position.index);
    assert_eq!(received, expected);
}

/// The body of a statement leaves this vm only for vms in its regions.
#[tokio::test]
async fn run_unit_bound_to_regions_stays_there() {
    let fixture = RouterFixture::start().await;
    let second = &fixture.ranks[&fixture.groups[0]][1];
    let index = second.as_str().trim_start_matches("vm").parse::<usize>();
    let domain = format!("d{}", index.expect("a number") % 3);
    let unit = WorkUnit {
        domains: Some(AllowedDomains {
            names: vec![domain],
        }),
        ..unit(&fixture.groups[0], Verb::Read, None)
    };
    let (outcome, _) = fixture.router.run(unit).await;
    assert!(is_answered(&outcome), "{outcome:?}");
    assert_eq!(fixture.at(0, 0).submitted(), 0, "the home is elsewhere");
    assert_eq!(fixture.at(0, 1).submitted(), 1);
}

/// What has no place is refused as not run.
#[tokio::test]
async fn run_unit_bound_to_no_region_of_the_fleet_is_refused() {
    let fixture = RouterFixture::start().await;
    let unit = WorkUnit {
        domains: Some(AllowedDomains { names: Vec::new() }),
        ..unit(&fixture.groups[0], Verb::Read, None)
    };
    let (outcome, _) = fixture.router.run(unit).await;
    assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
}
