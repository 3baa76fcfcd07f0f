/**
 * Four of six entries are killed at the same moment, and a replica leaves the list while they start again. The two entries that
 * go on are no watchers of the store and never learn of it.
 */
import { hasTrouble, runCase, send } from "../lib-2/case.mjs";
import { sleep } from "../lib-2/http.mjs";
import { host, Site } from "../lib-2/site.mjs";

/** `drain_ms` of the sheet. */
const drain = 2_000;
/** The leaving replica serves on for this long after its entry was removed. */
const serving = 12_000;
const restartDelay = 300;
/** Bookings of one client come this often; a replica works on each for `work` ms, as the sheet says. */
const interval = 20;
const work = 86;
const entryNames = ["1", "2"].flatMap(number => ["a", "b", "c"].map(zone => `edge-midlands-${zone}-${number}`));
const killedNames = new Set(["edge-midlands-a-1", "edge-midlands-b-1", "edge-midlands-c-1", "edge-midlands-b-2"]);

await runCase(import.meta.dirname, async context => {
    const { note } = context;
    const site = await Site.open(context, { entryNames, work });
    const seeds = site.entries.slice(0, 3);
    await site.start(seeds);
    note("All entries are ready.");
    const killed = site.entries.filter(({ name }) => killedNames.has(name));
    const calm = site.entries.filter(({ name }) => !killedNames.has(name));
    await sleep(4_000);
    // Each entry waits for changes itself when it starts. With the first change, the four watchers alone go on.
    await site.addReplica("i-4", "midlands-a", work);
    note("A replica has joined.");
    await sleep(4_000);

    let serial = 0;
    let isSending = true;
    const answers = [];
    const sentAt = new Map();
    const client = async entry => {
        while (isSending) {
            const id = `${entry.name}.${++serial}`;
            sentAt.set(id, Date.now());
            answers.push(send(entry.front, { id, host, method: "POST", target: `/booking/${serial}`, body: "{\"place\":1}" }));
            await sleep(interval);
        }
    };
    const clients = calm.map(entry => client(entry));
    await sleep(2_000);

    if (hasTrouble) {
        killed.forEach(entry => entry.signal("SIGKILL"));
        note(`Killed: ${killed.map(({ name }) => name).join(", ")}.`);
        await Promise.all(killed.map(({ ended }) => ended));
    }
    await sleep(100);
    const leaving = site.replica("i-1");
    site.store.remove("servers", leaving.id);
    const goneAt = Date.now();
    note(`The entry of ${leaving.id} is removed from the store, which is sound. The replica serves on for ${serving} ms.`);
    if (hasTrouble) {
        await sleep(restartDelay - 100);
        killed.forEach(entry => entry.start(site.seeds));
        await site.untilStarted(killed);
        note(`They are ready again ${Date.now() - goneAt} ms after the removal.`);
    }
    await sleep(serving - (Date.now() - goneAt));
    leaving.end();
    note(`${leaving.id} exits.`);
    await sleep(500);
    isSending = false;
    await Promise.all(clients);
    const results = await Promise.all(answers);
    note(`${results.length} bookings were sent; ${results.filter(({ status }) => status === 200).length} answered with 200.`);
    for (const replica of site.replicas) {
        note(`${replica.id} ran ${replica.arrivals.filter(({ ran }) => ran).length} requests.`);
    }
    const late = leaving.arrivals.filter(({ at, id }) => at - goneAt > drain && sentAt.get(id) - goneAt > drain);
    for (const { at, id } of late) {
        note(`${id} reached ${leaving.id} ${at - goneAt} ms after the store acknowledged that it is gone.`);
    }
    const lost = results.filter(({ id, status }) => status !== 200 && late.some(arrival => arrival.id === id));
    for (const { id, status, failure } of lost) {
        note(`${id} ran on ${leaving.id} when that exited; its client got ${status} ${failure ?? ""}`);
    }
    return late.length === 0 ? [] : [
        `DRAIN: ${late.length} requests reached ${leaving.id} later than ${drain} ms after its entry was removed, the last one `
            + `after ${late.at(-1).at - goneAt} ms, from entries that ran undisturbed; ${lost.length} bookings were lost at its exit.`,
    ];
});
