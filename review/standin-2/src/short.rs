//! Some answers of nodes are spoilt: the length that they state is half of what they bring. No client may take one for the
//! answer to its request.

use std::path::Path;

use crate::common::*;
use crate::traffic::*;
use crate::Deployment;

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    let reply = |nth: u64, id: &str| {
        let text = sound_reply(id);
        let length = id.len() + "done ".len();
        match nth % 10 {
            3 => text.replace(&format!("Content-Length: {length}"), &format!("Content-Length: {}", length / 2)),
            _ => text,
        }
    };
    let behaviour = if trouble { Behaviour { reply, ..SOUND } } else { SOUND };
    let deployment = Deployment::start(case, behaviour, (192, 1024))?;
    let record = deployment.record.clone();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), now() + ms(12_000), &record);
    let calls = clients.join().ok()?;
    sum_up(&calls, &record);
    let wrong: Vec<_> = calls.iter().filter(|c| c.foreign).collect();
    for call in wrong.iter().take(10) {
        record.say(&format!("BROKEN id={}: 200 with a whole body that is not the one its node made", call.id));
    }
    record.say(&format!("served with something else: {}", wrong.len()));
    (calls.len() > 300).then_some(wrong.is_empty())
}
