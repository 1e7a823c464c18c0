//! Settings of a daemon that is started by a test.

use std::path::PathBuf;

use mesh::{Address, Block};

/// Writes the settings of a daemon `a` on the first addresses of `block`, with `fields` beside them.
pub fn write_settings(block: Block, fields: &str) -> PathBuf {
    let address = |what| block.of(0, what);
    let settings = format!(
        r#"{{ "instance": "a", "zone": "longbien", "service": "desk", "callers": "{}", "outbound": "{}",
              "link": "{}", "operator": "{}", "target": "{}", "store": ["{}"], {fields} }}"#,
        address(Address::Callers),
        address(Address::Outbound),
        address(Address::Link),
        address(Address::Operator),
        address(Address::Target),
        address(Address::Store),
    );
    let callers = address(Address::Callers);
    let name = format!("{}-{}.jsonc", callers.ip(), callers.port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings).expect("the settings are written");
    path
}
