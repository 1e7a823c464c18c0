//! Documents of rules.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A document of rules that differs by its name.
pub fn text(name: &str) -> String {
    format!(r#"{{ "rules": [{{ "name": "{name}", "then": {{ "service": "vault-desk" }} }}] }}"#)
}

/// A document of as many rules as said, with names and prefixes that nothing repeats.
pub fn many_rules(name: &str, rules: usize) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(rules as u64);
    let mut word = |length: usize| -> String {
        let letters = (0..length).map(|_| char::from(rng.random_range(b'a'..=b'z')));
        letters.collect()
    };
    let rule = |_| {
        let (name, prefix) = (word(6), word(8));
        format!(
            r#"{{"name":"{name}","then":{{"attempts":2,"objective":"800ms","priority":1,"repeat":true,"service":"vault-desk","timeout":"1500ms"}},"when":{{"host":"bade94.example","prefix":"/{prefix}/"}}}}"#
        )
    };
    let rules: Vec<String> = (0..rules).map(rule).collect();
    let last = format!(r#"{{"name":"{name}","then":{{"service":"vault-desk"}}}}"#);
    format!(r#"{{"rules":[{},{last}]}}"#, rules.join(","))
}

/// A document of at least `bytes` bytes, most of them a comment that hardly packs.
pub fn long_text(name: &str, bytes: usize) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(bytes as u64);
    let letters: Vec<char> = ('a'..='z').chain('A'..='Z').chain('0'..='9').collect();
    let pad: String = (0..bytes)
        .map(|_| letters[rng.random_range(0..letters.len())])
        .collect();
    format!("{} // {pad}", text(name))
}
