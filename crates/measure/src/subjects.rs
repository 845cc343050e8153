//! The measured subjects. Each runs in its own process with one worker thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use ivydrift_sockets::coroutine::configure_runtime;
use ivydrift_sockets::Socket;
use ivydrift_wire::http::{self, Framing, HeadWriter};

use crate::node::{announce, listen, read_request};

/// Runs a marshal with one worker.
///
/// # Errors
/// If the config is invalid or the marshal can't start.
pub fn edge(towards: SocketAddr, listen: SocketAddr) -> io::Result<()> {
    let text = ivydrift_terms::EXAMPLE
        .replace("127.0.0.1:7100", &listen.to_string())
        .replace("127.0.0.1:7001", &towards.to_string())
        .replace("127.0.0.1:7002", &towards.to_string())
        + "bounds {\n  workers = 1\n  clients = 100000\n}\n";
    let config = ivydrift_terms::parse("measure", &text).map_err(io::Error::other)?;
    let running = ivydrift_edge::start(config)?;
    let deadline = Instant::now() + Duration::from_secs(10);
    while running.ready_nodes() == 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    announce(&[running.listen_addr])
}

/// Forwards to the nodes round-robin without any routing decision: the cost of the runtime and HTTP framing
/// alone.
///
/// # Errors
/// If no socket can be bound.
pub fn relay(nodes: Vec<SocketAddr>) -> io::Result<()> {
    configure_runtime(1);
    let (next_node, pools) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::<Vec<Socket>>::new())));
    pools.lock().unwrap().resize_with(nodes.len(), Vec::new);
    let addr = listen(move |client| {
        let (mut buf, mut chunk) = (Vec::new(), [0; 8192]);
        while let Some((request, body)) = read_request(client, &mut buf) {
            let index = next_node.fetch_add(1, Ordering::Relaxed) % nodes.len();
            let pooled = pools.lock().unwrap()[index].pop();
            let Some(mut node) =
                pooled.or_else(|| Socket::connect(nodes[index], Duration::from_secs(1)).ok())
            else {
                return;
            };
            let mut bytes = HeadWriter::request(&request.http_method, &request.target)
                .field("host", "node")
                .copy_end_to_end(&request.fields, &["host"])
                .field("content-length", body.len().to_string())
                .finish();
            bytes.extend_from_slice(&body);
            let deadline = Instant::now() + Duration::from_secs(5);
            if node.write(&bytes, deadline).is_err() {
                return;
            }
            let mut answer = Vec::new();
            let (head, end) = loop {
                match http::parse_response(&answer, false) {
                    Ok(Some((head, used))) => {
                        let Framing::Length(length) = head.framing else { return };
                        if answer.len() >= used + length as usize {
                            break (head, used);
                        }
                    }
                    Ok(None) => {}
                    Err(_) => return,
                }
                match node.read(&mut chunk, Some(deadline)) {
                    Ok(n) if n > 0 => answer.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            };
            pools.lock().unwrap()[index].push(node);
            let mut out = HeadWriter::response(head.status)
                .copy_end_to_end(&head.fields, &[])
                .field("content-length", (answer.len() - end).to_string())
                .finish();
            out.extend_from_slice(&answer[end..]);
            if client.write(&out, deadline).is_err() {
                return;
            }
        }
    })?;
    announce(&[addr])
}

/// Does the same as [`relay`] on hyper with hyper's client pool.
///
/// # Errors
/// If no socket can be bound.
pub fn hyper(nodes: Vec<SocketAddr>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let (next_node, nodes) = (Arc::new(AtomicUsize::new(0)), Arc::new(nodes));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let (client, next_node, nodes) = (client.clone(), next_node.clone(), nodes.clone());
            tokio::spawn(async move {
                let forward = service_fn(move |request: Request<Incoming>| {
                    let (client, index) =
                        (client.clone(), next_node.fetch_add(1, Ordering::Relaxed) % nodes.len());
                    let node = nodes[index];
                    async move {
                        let (mut head, body) = request.into_parts();
                        let path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
                        head.uri = format!("http://{node}{path}").parse::<Uri>().unwrap_or_default();
                        let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
                        let answer = client.request(Request::from_parts(head, Full::new(body))).await;
                        Ok::<_, Infallible>(match answer {
                            Ok(answer) => answer.map(BodyExt::boxed),
                            Err(_) => {
                                let none = Full::new(Bytes::new()).map_err(|e| match e {});
                                let mut answer = Response::new(none.boxed());
                                *answer.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                                answer
                            }
                        })
                    }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), forward)
                    .await;
            });
        }
    })
}
