//! Links that several requests need at the same moment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::names::VmName;
use mustardbay_proxy::link::Link;
use mustardbay_proxy::link::Links;
use tokio::net::TcpListener;

fn links() -> Links {
    let (own, _asks) = Link::new();
    Links::new(VmName::from("me"), Arc::new(own))
}

/// Load: the first operations of a vm that has just started. All but the first were refused for their rates.
#[tokio::test]
async fn to_two_requests_share_a_link_that_opens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let links = links();
    let vm = VmName::from("vm1");
    let (first, second) = tokio::join!(links.to(&vm, address), links.to(&vm, address));
    let first = first.expect("it opens");
    let second = second.expect("it is waited for");
    assert!(Arc::ptr_eq(&first, &second));
}

/// Load: operations during a cut. One tries the vm that does not answer; the others go elsewhere soon.
#[tokio::test]
async fn to_a_vm_that_does_not_answer_holds_others_for_a_moment_only() {
    // A listener whose queue of new connections is full does not answer further ones.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(any).expect("loopback");
    let listener = socket.listen(0).expect("it listens");
    let address = listener.local_addr().expect("bound");
    let _first = tokio::net::TcpStream::connect(address).await;
    let links = links();
    let vm = VmName::from("vm1");
    let other = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let asked = Instant::now();
        (links.to(&vm, address).await.is_some(), asked.elapsed())
    };
    let (opened, (shared, waited)) = tokio::join!(links.to(&vm, address), other);
    assert_eq!((opened.is_some(), shared), (false, false));
    assert!(waited < Duration::from_millis(300), "{waited:?}");
}
