/**
 * A list of replicas with an entry from another writer, and a replica that crashes: entries end by themselves, and the requests
 * that they had passed on to sound replicas are never answered.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { ClientConnection } from "../lib/client.mjs";
import { hasTrouble, host, key, runCase, sleep } from "../lib/site.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
/** `TROUBLE=crash` and `TROUBLE=entry` bring one half of the trouble alone. */
const hasForeignEntry = hasTrouble && process.env.TROUBLE !== "crash";
const hasCrash = hasTrouble && process.env.TROUBLE !== "entry";

const zones = ["north", "south", "coast"];
const connectionsPerEntry = 4;
const workDuration = 300;
/** Longer than `stable_window_ms`, so that all machines are in touch. */
const calmDuration = 4_000;
const crashDuration = 4_500;
const restartDelay = 500;
/** The rule allows three. */
const maximumLostRequests = 3;

/** Entry of another writer: its service is not named by any configuration, and fields are missing. */
const foreignEntry = {
    service: "print-queue",
    address: "127.0.0.1:80800",
    zone: "depot",
    slots: 1,
    state: "ready",
    cold_remaining_ms: 0,
};

await runCase(folder, async (site, recorder) => {
    const replicaByRequest = new Map();
    const replicas = [];
    for (let index = 0; index < 6; index++) {
        const id = `i-${index + 1}`;
        const onEvent = ({ event, requestId }) => event === "run" && replicaByRequest.set(requestId, id);
        replicas.push(await site.startReplica(id, zones[index % zones.length], { onEvent }));
    }
    await site.start({ entryCount: 3, zones, replicas });
    if (hasForeignEntry) {
        site.store.put("servers", "prn-4", foreignEntry);
        recorder.add(`another writer wrote servers/prn-4: ${JSON.stringify(foreignEntry)}`);
    }

    let isOver = false;
    let ownEnds = 0;
    const restartAfterEnd = entry =>
        entry.process.once("exit", async () => {
            if (!isOver) {
                ownEnds++;
                await sleep(restartDelay);
                site.startEntry(entry);
                restartAfterEnd(entry);
            }
        });
    site.entries.forEach(restartAfterEnd);
    let nextId = 1;
    let servedCount = 0;
    const lost = [];
    const runClient = async (entry, number) => {
        const method = number % 2 === 0 ? "GET" : "POST";
        const target = `${number % 2 === 0 ? "/lookup/" : "/booking/"}1?work=${workDuration}`;
        let connection = new ClientConnection(entry.front);
        while (!isOver) {
            if (connection.isClosed) {
                await sleep(200);
                connection = new ClientConnection(entry.front);
            }
            const id = `q${nextId++}`;
            const isKept = connection.answeredCount > 0;
            recorder.add(`client sends ${id} (${method}) to ${entry.name}`);
            const answer = await connection.send({ id, method, target, host, key, body: method === "POST" ? "{}" : "" });
            recorder.add(`client gets for ${id}: ${answer.isComplete ? answer.status : `no answer, connection ${answer.closed}`}`);
            servedCount += answer.isComplete && answer.status === 200 ? 1 : 0;
            if (!answer.isComplete && !isOver && isKept && replicaByRequest.has(id)) {
                lost.push({ id, entry: entry.name, replica: replicaByRequest.get(id) });
            }
        }
        connection.close();
    };
    const clients = site.entries.flatMap(entry =>
        Array.from({ length: connectionsPerEntry }, (_, number) => runClient(entry, number))
    );

    await sleep(calmDuration);
    const [crashed] = replicas;
    if (hasCrash) {
        recorder.add(`replica ${crashed.id} crashes`);
        crashed.process.kill("SIGKILL");
        // The list drops it after three heartbeats of silence.
        setTimeout(() => site.store.remove("servers", crashed.id), 3 * 1_200);
    }
    await sleep(crashDuration);
    isOver = true;
    await Promise.all(clients);
    const lostAtSoundReplicas = lost.filter(({ replica }) => replica !== crashed.id);
    recorder.add(`processes that ended by themselves: ${ownEnds}; requests answered with 200: ${servedCount}`);
    recorder.add(
        `requests on kept connections, run by sound replicas, whose connection closed without an answer: `
            + `${lostAtSoundReplicas.length} (allowed: ${maximumLostRequests}) ${JSON.stringify(lostAtSoundReplicas)}`,
    );
    return lostAtSoundReplicas.length > maximumLostRequests;
});
