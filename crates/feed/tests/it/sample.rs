//! Announcements and documents of rules.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use roster::{Record, State};
use unit::{Fingerprint, Incarnation};

/// The zones of a world, as many of them as it has.
pub const ZONES: [&str; 4] = ["longbien", "gialam", "caugiay", "dongda"];

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

/// The announcement of the daemon of a number.
pub fn record(number: usize, zones: usize) -> Record {
    let parsed = "is a name";
    let mut print = [0; 32];
    print[..8].copy_from_slice(&(number as u64).to_le_bytes());
    Record {
        instance: format!("desk-{number}").parse().expect(parsed),
        incarnation: Incarnation(1),
        state: State::Live,
        zone: ZONES[number % zones].parse().expect(parsed),
        region: "hanoi".to_string(),
        service: "vault-desk".parse().expect(parsed),
        link: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into(),
        fingerprint: Fingerprint(print),
    }
}
