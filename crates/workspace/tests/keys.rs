//! Tests of keys, their digests and the directory.

use std::collections::BTreeSet;

use proptest::prelude::*;
use workspace::{Directory, Key, KeyDigest, Salt, Taken, Workspace};

fn named(name: &str) -> Workspace {
    Workspace::named(name.parse().expect("a name"))
}

fn digest(salt: Salt, key: &str) -> KeyDigest {
    salt.digest(&Key::new(key.as_bytes()).expect("a key"))
}

/// Guards against a change of the digest, after which daemons of two versions would not know each
/// other's keys. The value is test case 2 of RFC 4231 with its key padded to the length of a salt.
#[test]
fn digest_is_hmac_sha256() {
    let salt = "4a65666500000000000000000000000000000000000000000000000000000000";
    let salt: Salt = salt.parse().expect("a salt");
    let expected = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
    assert_eq!(
        digest(salt, "what do ya want for nothing?").to_string(),
        expected
    );
}

#[test]
fn a_key_belongs_to_one_workspace_once() {
    let salt = Salt::of(b"a");
    let [one, two] = ["one", "two"].map(|key| digest(salt, key));
    let mut directory = Directory::new(salt);
    assert_eq!(directory.add(named("a"), &[one]), Ok(()));
    let owner = "a".parse().expect("a name");
    assert_eq!(
        directory.add(named("b"), &[two, one]),
        Err(Taken::Key(1, owner))
    );
    assert_eq!(directory.add(named("a"), &[]), Err(Taken::Name));
    let mut directory = Directory::new(salt);
    let owner = "a".parse().expect("a name");
    assert_eq!(
        directory.add(named("a"), &[two, two]),
        Err(Taken::Key(1, owner))
    );
}

/// Guards against a panic message or log line that shows a presented key, or a key that was put in the
/// place of a digest.
#[test]
fn no_output_shows_a_key() {
    let key = Key::new(b"k-secret").expect("a key");
    assert_eq!(
        format!("{key:?} {:?}", Some(key)),
        "Key(hidden) Some(Key(hidden))"
    );
    let error = "k-secret".parse::<KeyDigest>().expect_err("no digest");
    assert!(!format!("{error} {error:?}").contains("secret"), "{error}");
}

#[test]
fn an_empty_key_is_none() {
    assert_eq!(Key::new(b""), None);
}

proptest! {
    /// Guards against keys or salts that share a digest because their bytes are read wrongly.
    #[test]
    fn digests_differ_by_key_and_salt(keys in prop::collection::btree_set("[ -~]{1,80}", 1..9)) {
        let salts = ["a", "b"].map(|content| Salt::of(content.as_bytes()));
        let digests = salts.iter().flat_map(|salt| keys.iter().map(|key| digest(*salt, key)));
        let digests: BTreeSet<KeyDigest> = digests.collect();
        prop_assert_eq!(digests.len(), 2 * keys.len());
        for digest in digests {
            prop_assert_eq!(digest.to_string().parse(), Ok(digest));
        }
    }
}
