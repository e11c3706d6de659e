//! Session floors and tokens.

use mustardbay_policy::names::GroupName;
use mustardbay_policy::position::Position;
use mustardbay_policy::session::Floor;
use mustardbay_policy::session::SessionToken;
use test_case::test_case;

fn floor() -> Floor {
    Floor::unknown(GroupName::from("g1"))
}

#[test_case("v1.g1.2:7", Some(("g1", 2, 7)); "plain")]
#[test_case("v1.a.b.2:7", Some(("a.b", 2, 7)); "dots in the group")]
#[test_case("v2.g1.2:7", None; "other version")]
#[test_case("v1..2:7", None; "no group")]
#[test_case("v1.g1.2", None; "no index")]
#[test_case("", None; "empty")]
fn token_parse(text: &str, expected: Option<(&str, u64, u64)>) {
    let expected = expected.map(|(group, term, index)| SessionToken {
        group: group.into(),
        floor: Position::new(term, index),
    });
    assert_eq!(text.parse().ok(), expected);
}

#[test]
fn token_round_trip() {
    let mut floor = floor();
    floor.raise(Position::new(3, 9));
    let token = floor.token().unwrap();
    assert_eq!(token.to_string().parse(), Ok(token));
}

#[test_case("v1.g1.1:5", Some(Position::new(1, 5)); "own group")]
#[test_case("v1.g2.1:5", None; "other group")]
fn present_token(token: &str, expected: Option<Position>) {
    let mut floor = floor();
    floor.present(&token.parse().unwrap());
    assert_eq!(floor.position(), expected);
}

#[test]
fn raise_never_lowers() {
    let mut floor = floor();
    assert!(floor.raise(Position::new(1, 5)));
    assert!(!floor.raise(Position::new(1, 4)));
    assert!(floor.raise(Position::new(2, 5)));
    assert_eq!(floor.position(), Some(Position::new(2, 5)));
}
