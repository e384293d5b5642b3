//! Values that are compressed on the way arrive unchanged, and damaged ones are refused.

use shallotdrum_rpc::Compressed;

/// Guards against a value that is lost or altered, and against one that stays large.
#[test]
fn value_arrives_and_is_small() {
    let value: Vec<String> = (0..1000).map(|at| format!("subscriber-{at}")).collect();
    let text = serde_json::to_string(&Compressed(&value)).unwrap();
    assert!(text.len() < serde_json::to_string(&value).unwrap().len() / 2, "{}", text.len());
    let Compressed(arrived) = serde_json::from_str::<Compressed<Vec<String>>>(&text).unwrap();
    assert_eq!(arrived, value);
}

/// Guards against a crash, or a wrong value, on bytes that were damaged.
#[test]
fn damaged_value_refused() {
    let text = serde_json::to_string(&Compressed(vec![1, 2, 3])).unwrap();
    for damaged in ["\"\"", "\"AAAA\"", &text.replace("KLUv", "KLUu"), "3"] {
        let result = serde_json::from_str::<Compressed<Vec<u32>>>(damaged);
        assert!(result.is_err(), "{damaged}: {result:?}");
    }
}
