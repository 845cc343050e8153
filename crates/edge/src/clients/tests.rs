use std::time::Duration;

use super::client::Client;
use ivydrift_sockets::coroutine::go;
use ivydrift_sockets::Socket;

#[test]
fn of_a_connection_that_was_given_up_nothing_is_carried_out_and_one_with_a_message_is_not_given_up() {
    ivydrift_sockets::coroutine::prepare(2);
    let (tell, told) = std::sync::mpsc::channel();
    go(move || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        let sockets = [0; 3].map(|_| Socket::connect(to, Duration::from_secs(1)).unwrap());
        let [new, busy, resting] = sockets.each_ref().map(|socket| Client::new(socket.look()));
        let _ = tell.send(("new", new.give_up() && !new.spoken() && !new.asked()));
        let _ = tell.send(("busy", busy.asked() && !busy.give_up() && busy.spare().is_none()));
        resting.asked();
        resting.rest();
        let _ = tell.send(("resting", resting.spare().is_some() && resting.give_up() && !resting.spoken()));
        let _ = tell.send(("resting, asked", !resting.asked()));
    });
    for what in ["new", "busy", "resting", "resting, asked"] {
        assert_eq!(told.recv_timeout(Duration::from_secs(5)), Ok((what, true)));
    }
}
