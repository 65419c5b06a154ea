//! The bounds of everything that a process may hold, together, against the memory that it is granted, and what it
//! does when it holds more than was planned.

use shaletack::config;
use shaletack::net::downstream::memory::OPEN_CONNECTION_BYTES;
use shaletack::runtime::memory::{MemoryBudget, MemoryPressure};
use shaletack::runtime::memory_plan::{Grant, MemoryPlan, ENDPOINT_CONNECTION_BYTES};
use shaletack::runtime::process_memory::ProcessMemory;
use shaletack::runtime::socket_memory::SocketMemory;

fn plan(memory_mib: u64, descriptors: usize) -> MemoryPlan {
    MemoryPlan::new(Grant {
        memory_mib,
        state_bytes: config::state_memory(memory_mib),
        connection_bytes: OPEN_CONNECTION_BYTES as u64,
        max_clients: descriptors * 3 / 4,
        max_endpoints: descriptors / 4,
    })
}

/// Guards against shares of the memory that add up to more than it: all bounds together fit into each grant, with
/// the buffers of sockets, and leave requests a part.
#[test]
fn all_bounds_together_fit_into_the_memory() {
    for memory_mib in [32, 48, 64, 192, 512, 2048] {
        for descriptors in [64, 256, 1024, 4096] {
            let plan = plan(memory_mib, descriptors);
            let buffers = plan.socket_buffers.unwrap();
            let connections = (plan.clients * 2) as u64;
            let sockets = connections * (buffers.receive + buffers.send) as u64;
            let endpoints = plan.clients as u64 * ENDPOINT_CONNECTION_BYTES;
            let base = 10 << 20;
            let sum = base + config::state_memory(memory_mib) + sockets + endpoints + plan.client_bytes;
            assert!(
                sum <= memory_mib << 20,
                "{memory_mib} MiB, {descriptors} descriptors: {sum} in {plan:?}"
            );
            assert!(plan.fits(memory_mib) && plan.endpoints <= descriptors / 4, "{plan:?}");
            let requests = plan.client_bytes - (plan.clients * OPEN_CONNECTION_BYTES) as u64;
            assert!(
                requests >= (memory_mib << 20) / 12,
                "{memory_mib} MiB: {requests} for requests in {plan:?}"
            );
        }
    }
}

/// More memory never means fewer connections or smaller buffers, and enough of it means as many connections as there
/// are descriptors. What is too small for the least is known as such.
#[test]
fn plans_grow_with_the_memory() {
    let plans = [12, 16, 24, 32, 64, 192, 2048].map(|memory_mib| plan(memory_mib, 1024));
    for pair in plans.windows(2) {
        assert!(pair[0].clients <= pair[1].clients && pair[0].endpoints <= pair[1].endpoints, "{pair:?}");
        assert!(
            pair[0].socket_buffers.unwrap().receive <= pair[1].socket_buffers.unwrap().receive,
            "{pair:?}"
        );
    }
    assert_eq!((plans[5].clients, plans[5].endpoints), (768, 256));
    assert_eq!(plans[0].clients, 16);
    assert!(!plans[0].fits(12) && plans[3].fits(32));
    assert_eq!(plan(0, 1024).socket_buffers, None);
    assert!(plan(0, 1024).fits(0));
}

/// Guards against an estimate without a measurement: what is really held goes before what is reserved. Near the limit
/// nothing large is reserved, then nothing, and the pressure ends with what is held, also if the allocator keeps pages.
#[test]
fn what_is_held_goes_before_what_is_reserved() {
    const MIB: u64 = 1 << 20;
    let held = |resident_mib: u64, allocated_mib: u64, sockets_mib: u64| ProcessMemory {
        program: 0,
        anonymous: resident_mib * MIB,
        allocated: allocated_mib * MIB,
        sockets: SocketMemory { sockets: 1, received: 0, sent: sockets_mib * MIB },
    };
    let budget = MemoryBudget::in_process(16 << 20, 100 * MIB);
    let (small, large) = (budget.open_account(), budget.open_account());
    let reservations = || (small.try_reserve(1000), large.try_reserve(100_000));
    assert_eq!(budget.observe(held(20, 10, 0), 1.0), MemoryPressure::None);
    assert_eq!(reservations(), (true, true));
    // Resident pages and the buffers of sockets count together.
    assert_eq!(budget.observe(held(60, 50, 28), 1.0), MemoryPressure::StopReading);
    assert_eq!(reservations(), (true, false));
    assert_eq!(budget.observe(held(93, 83, 0), 1.0), MemoryPressure::Refuse);
    assert_eq!(reservations(), (false, false));
    assert_eq!(budget.observe(held(97, 87, 0), 1.0), MemoryPressure::Close);
    assert_eq!(reservations(), (false, false));
    assert_eq!(budget.refused(), 5);
    // Most of what was allocated is free again, and the allocator keeps the pages.
    assert_eq!(budget.observe(held(97, 40, 0), 1.0), MemoryPressure::None);
    assert_eq!(reservations(), (true, true));
    // Two processes share the limit during a hand-over.
    assert_eq!(budget.observe(held(49, 45, 0), 0.5), MemoryPressure::Close);
    // A process without a limit is never under pressure.
    assert_eq!(MemoryBudget::new(1000).observe(held(900, 900, 900), 1.0), MemoryPressure::None);
}
