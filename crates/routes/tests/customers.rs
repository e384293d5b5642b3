//! Which lists of customers are valid, and whom a key belongs to.

mod support;

use std::sync::Arc;

use rstest::rstest;
use shallotdrum_routes::{
    Allotment, AllotmentUnit, Customer, MAX_ALLOTMENT, RouteError, RouteIndex, RouteTable,
};
use shallotdrum_types::KeyHash;

use support::{customer, route_table};

fn table(customers: Vec<Customer>) -> RouteTable {
    let customers = Some(customers.into_iter().map(Arc::new).collect());
    RouteTable { customers, ..RouteTable::clone(&route_table(1, 2)) }
}

/// Guards against a valid list that is refused.
#[rstest]
#[case::none(vec![])]
#[case::without_keys(vec![customer("kelp", &[])])]
#[case::several_keys(vec![customer("kelp", &["a", "b"]), customer("moss", &["c"])])]
#[case::key_listed_twice(vec![customer("kelp", &["a", "a"])])]
fn valid(#[case] customers: Vec<Customer>) {
    assert_eq!(table(customers).check(), Ok(()));
}

/// Guards against requests that are charged to either of two customers.
#[test]
fn ambiguous() {
    let shared = table(vec![customer("kelp", &["a", "b"]), customer("moss", &["c", "b"])]);
    let (first, second) = ("kelp".parse().unwrap(), "moss".parse().unwrap());
    let error = shared.check().unwrap_err();
    assert_eq!(error, RouteError::SharedKey { first, second });
    let hash = KeyHash::of(b"b").to_string();
    assert!(!error.to_string().contains(&hash), "the error shows the key");
    let same_name = table(vec![customer("kelp", &["a"]), customer("kelp", &["b"])]);
    let expected = RouteError::DuplicateCustomer("kelp".parse().unwrap());
    assert_eq!(same_name.check(), Err(expected));
}

/// Guards against an allotment that cannot be counted.
#[rstest]
#[case::largest(MAX_ALLOTMENT, 0.0, None)]
#[case::negative_rate(-1.0, 1.0, Some("rate"))]
#[case::negative_burst(1.0, -0.5, Some("burst"))]
#[case::infinite(f64::INFINITY, 1.0, Some("rate"))]
#[case::no_number(1.0, f64::NAN, Some("burst"))]
#[case::too_large(1.0, 2.0 * MAX_ALLOTMENT, Some("burst"))]
fn allotments(#[case] rate: f64, #[case] burst: f64, #[case] invalid: Option<&'static str>) {
    let allotment = Allotment { rate, burst, unit: AllotmentUnit::Tokens, default_tokens: 1 };
    let customer = Customer { allotment: Some(allotment), ..customer("kelp", &["a"]) };
    let error = invalid
        .map(|field| RouteError::InvalidAllotment { customer: "kelp".parse().unwrap(), field });
    assert_eq!(table(vec![customer]).check().err(), error);
}

/// Guards against a look-up that finds another customer in a large table than in a small one.
#[rstest]
fn customer_of(#[values(10, 100_000)] keys: usize) {
    let customers = keys.div_ceil(5);
    let key = |n: usize| format!("key-{n}");
    let listed = (0..customers).map(|c| {
        let own: Vec<_> = (0..5).map(|k| key(c * 5 + k)).collect();
        customer(&format!("c-{c}"), &own.iter().map(String::as_str).collect::<Vec<_>>())
    });
    let index = RouteIndex::new(Arc::new(table(listed.collect())));
    let find = |key: &str| index.customer_of(&KeyHash::of(key.as_bytes())).map(|c| c.name.as_str());
    for n in (0..customers * 5).step_by(customers) {
        assert_eq!(find(&key(n)), Some(format!("c-{}", n / 5).as_str()));
    }
    assert_eq!(find("key-"), None);
    assert_eq!(find(&key(customers * 5)), None);
}

/// Guards against keys in a dump of the table.
#[test]
fn debug_hides_document() {
    let mut table = table(vec![customer("kelp", &["secret-1"])]);
    table.document = r#"{"keys": ["secret-1"]}"#.to_owned();
    assert!(!format!("{table:?}").contains("secret"));
}

/// Guards against requests of no customer that go behind all others, because their rank is of another
/// scale than those of the customers.
#[rstest]
#[case::no_ranks(&[None, None], None)]
#[case::low_ranks(&[Some(1), Some(0), Some(1), None], Some(1))]
#[case::two(&[Some(7), Some(2)], Some(2))]
#[case::one(&[Some(9)], Some(9))]
fn middle_rank(#[case] ranks: &[Option<u8>], #[case] expected: Option<u8>) {
    let ranked = |(n, rank): (usize, &Option<u8>)| {
        let name = format!("c-{n}");
        Customer { rank: *rank, ..customer(&name, &[&name]) }
    };
    let customers = ranks.iter().enumerate().map(ranked).collect();
    assert_eq!(RouteIndex::new(Arc::new(table(customers))).middle_rank(), expected);
}
