//! Relay: modes, source addresses and the switch.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mustardbay_lab::relay::Config;
use mustardbay_lab::relay::LinkConfig;
use mustardbay_lab::relay::Mode;
use mustardbay_lab::relay::Relay;
use mustardbay_process::dialer::Dialer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

type Outcome = Result<(), Box<dyn std::error::Error>>;

/// Time in which an answer that is held back would have come.
const SHORT: Duration = Duration::from_millis(100);

/// Sources that tests call from.
const NEAR: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 7, 0, 1));
const FAR: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 7, 0, 2));

/// Echoes every byte, after the address that the connection came from.
async fn echo() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, peer)) = listener.accept().await {
            tokio::spawn(async move {
                if let IpAddr::V4(ip) = peer.ip() {
                    stream.write_all(&ip.octets()).await?;
                }
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    Ok(address)
}

async fn relay() -> Result<(Relay, SocketAddr), Box<dyn std::error::Error>> {
    let config = Config {
        admin: Some("127.0.0.1:0".to_owned()),
        links: vec![LinkConfig {
            name: "echo.one".to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            target: echo().await?.to_string(),
        }],
    };
    let relay = Relay::start(config).await?;
    let address = relay.address("echo.one").ok_or("no such link")?;
    Ok((relay, address))
}

async fn open(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = Dialer::new(Some(from)).connect(to.to_string()).await?;
    let mut seen = [0; 4];
    stream.read_exact(&mut seen).await?;
    assert_eq!(IpAddr::from(seen), from);
    Ok(stream)
}

async fn exchange(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"ping").await?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await?;
    assert_eq!(&answer, b"ping");
    Ok(())
}

#[tokio::test]
async fn mode_pass() -> Outcome {
    let (_relay, address) = relay().await?;
    Ok(exchange(&mut open(NEAR, address).await?).await?)
}

#[tokio::test]
async fn mode_cut_by_source() -> Outcome {
    let (relay, address) = relay().await?;
    let mut near = open(NEAR, address).await?;
    let mut far = open(FAR, address).await?;
    relay.set("echo.one", &[FAR], Mode::Cut);
    assert!(exchange(&mut far).await.err().is_some(), "cut");
    assert!(open(FAR, address).await.err().is_some(), "refused");
    exchange(&mut near).await?;
    relay.set("echo.one", &[], Mode::Cut);
    relay.set("echo.one", &[FAR], Mode::Pass);
    exchange(&mut open(FAR, address).await?).await?;
    assert!(exchange(&mut near).await.err().is_some(), "cut");
    Ok(())
}

#[tokio::test]
async fn mode_freeze_then_pass() -> Outcome {
    let (relay, address) = relay().await?;
    let mut stream = open(NEAR, address).await?;
    relay.set("echo.one", &[], Mode::Freeze);
    let mut held = Box::pin(exchange(&mut stream));
    let early = tokio::time::timeout(SHORT, &mut held).await;
    assert!(early.err().is_some(), "held back");
    relay.set("echo.one", &[], Mode::Pass);
    Ok(held.await?)
}

#[tokio::test]
async fn mode_delay_both_ways() -> Outcome {
    let (relay, address) = relay().await?;
    let mut stream = open(NEAR, address).await?;
    let delay = Duration::from_micros(1_500);
    relay.set("echo.one", &[], Mode::Delay(delay));
    let start = Instant::now();
    exchange(&mut stream).await?;
    assert!(start.elapsed() >= 2 * delay);
    Ok(())
}

#[tokio::test]
async fn switch_over_http() -> Outcome {
    let (relay, address) = relay().await?;
    let admin = relay.admin().ok_or("no admin page")?;
    let http = reqwest::Client::new();
    let post = async |query: &str| {
        let url = format!("http://{admin}/link/echo.one?{query}");
        let answer = http.post(url).send().await?;
        Ok::<_, reqwest::Error>(answer.status().as_u16())
    };
    assert_eq!(post("mode=cut&from=127.7.0.1&from=127.7.0.2").await?, 200);
    assert!(open(FAR, address).await.err().is_some(), "cut");
    assert_eq!(post("mode=delay&us=10&from=127.7.0.2").await?, 200);
    exchange(&mut open(FAR, address).await?).await?;
    assert!(open(NEAR, address).await.err().is_some(), "cut");
    assert_eq!(post("mode=fly").await?, 400);
    Ok(())
}
