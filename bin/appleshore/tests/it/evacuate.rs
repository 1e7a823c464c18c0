//! `evacuate begin`, `end` and `list`, against the store's stand-in.

use crate::kit::{run, serve};

#[tokio::test]
async fn evacuation_begins_and_ends() {
    let served = serve().await;
    let store = served.address().to_string();
    let begun = run(&["evacuate", "begin", "longbien", "--store", &store]).await;
    assert_eq!(begun.code, Some(0), "{begun:?}");
    let listed = run(&["evacuate", "list", "--store", &store]).await;
    assert!(listed.out.starts_with("longbien "), "{listed:?}");
    let object = served.store.get("evacuations/longbien").await;
    assert!(object.expect("the store answers").is_some());
    for _ in 0..2 {
        let ended = run(&["evacuate", "end", "longbien", "--store", &store]).await;
        assert_eq!(ended.code, Some(0), "{ended:?}");
    }
    let listed = run(&["evacuate", "list", "--store", &store]).await;
    assert_eq!((listed.code, listed.out), (Some(0), String::new()));
}

/// An operator who mistyped the zone was told that it is evacuated.
#[tokio::test]
async fn name_that_is_no_zone_is_refused() {
    let faulty = run(&["evacuate", "begin", "long bien", "--store", "127.0.0.1:1"]).await;
    assert_eq!(faulty.code, Some(2), "{faulty:?}");
    assert!(faulty.err.contains("long bien"), "{faulty:?}");
}

/// A store that did not answer looked like an evacuation in force.
#[tokio::test]
async fn store_that_does_not_answer_fails_the_command() {
    let served = serve().await;
    served.platform.fault().down(true);
    let store = served.address().to_string();
    let begun = run(&["evacuate", "begin", "longbien", "--store", &store]).await;
    assert_eq!((begun.code, begun.out), (Some(1), String::new()));
}
