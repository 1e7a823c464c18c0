//! Positions of faults, limits, and syntax that is rejected.

use jsonc::{Error, read};

fn fault(text: &str) -> String {
    let result = read(text, 100, |reader, root| {
        reader.object(root, &[]).map(|_| ())
    });
    let Err(error) = result else {
        return "accepted".to_string();
    };
    error.to_string()
}

#[test]
fn accepts_only_comments_and_trailing_commas() {
    assert_eq!(fault("/* a */ {} // b"), "accepted");
    for text in [
        "{ a: 1 }",
        "{ 'a': 1 }",
        "{ \"a\": +1 }",
        "{} {}",
        "{ \"a\": 0x1 }",
    ] {
        assert!(fault(text).contains("not JSON with comments"), "{text}");
    }
}

#[test]
fn columns_count_characters() {
    assert_eq!(
        fault("{\r\n  /* đất */ \"x\": 1 }"),
        "line 2, column 13: unknown field \"x\": expected one of "
    );
}

#[test]
fn lists_a_bounded_number_of_faults() {
    let text = format!("[{}]", "1,".repeat(1_000));
    let result: Result<(), Error> = read(&text, 10_000, |reader, root| {
        for value in reader.list(root, 2_000)? {
            reader.text(value);
        }
        Some(())
    });
    assert_eq!(result.unwrap_err().faults().len(), 200);
}

#[test]
fn deep_nesting_is_a_fault() {
    let text = "[".repeat(90);
    assert!(
        fault(&text).starts_with("line 1, column "),
        "{}",
        fault(&text)
    );
    let deep = "[".repeat(900_000);
    let result: Result<(), Error> = read(&deep, 1_000_000, |_, _| Some(()));
    assert_eq!(result.unwrap_err().faults().len(), 1);
}
