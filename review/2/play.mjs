/**
 * Packets are lost between an entry and replicas, so that another entry carries the connections. A replica resets the connection of
 * an answer without a length: the client gets the part that was sent as a complete success.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { ClientConnection } from "../lib/client.mjs";
import { bodyOf } from "../lib/replica.mjs";
import { hasTrouble, host, key, runCase, sleep } from "../lib/site.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
/** `TROUBLE=loss` and `TROUBLE=garble` bring one half of the trouble alone. */
const losesPackets = hasTrouble && process.env.TROUBLE !== "garble";
/** One of twenty answers, at one of the three replicas. */
const garblesEach = hasTrouble && process.env.TROUBLE !== "loss" ? 20 : undefined;
const garblingReplicas = 1;

/** Longer than `stable_window_ms`. */
const calmDuration = 4_000;
const roundCount = 15;
const roundDuration = 900;
const clientsPerEntry = 4;
const pauseBetweenRequests = 5;
const size = 3_000;

await runCase(folder, async (site, recorder) => {
    const replicas = [];
    for (let index = 0; index < 3; index++) {
        const options = { garblesEach: index < garblingReplicas ? garblesEach : undefined };
        replicas.push(await site.startReplica(`i-${index + 1}`, "north", options));
    }
    await site.start({ entryCount: 3, zones: ["north", "north", "south"], replicas });
    const [first] = site.entries;
    await sleep(calmDuration);

    let nextId = 1;
    const answers = [];
    const book = async entry => {
        const id = `q${nextId++}`;
        const connection = new ClientConnection(entry.front);
        recorder.add(`client sends ${id} to ${entry.name}`);
        const target = `/booking/1?size=${size}&length=no`;
        const answer = await connection.send({ id, method: "POST", target, host, key, body: "{}" });
        connection.close();
        const body = answer.body ?? Buffer.alloc(0);
        recorder.add(
            `client gets for ${id}: status ${answer.status}, signature ${answer.signature}, ${body.length} bytes, `
                + (answer.isComplete ? "complete" : `not complete, connection ${answer.closed}`),
        );
        answers.push({ id, ...answer, body });
    };
    for (let round = 0; round < roundCount; round++) {
        await (losesPackets ? site.loseOnePacket(replicas, () => book(first)) : book(first));
        const endsAt = performance.now() + roundDuration;
        const runClient = async entry => {
            while (performance.now() < endsAt) {
                await book(entry);
                await sleep(pauseBetweenRequests);
            }
        };
        await Promise.all(
            site.entries.flatMap(entry => Array.from({ length: clientsPerEntry }, () => runClient(entry))),
        );
    }
    if (losesPackets && !site.log(first).includes("by way of another entry")) {
        throw new Error("no other entry carried a connection");
    }
    const wrong = answers.filter(({ id, status, signature, isComplete, body }) =>
        isComplete && status === 200 && signature !== undefined && !body.equals(bodyOf(id, size))
    );
    recorder.add(
        `answers that came as complete successes without the replica's whole body: ${wrong.length} of ${answers.length} `
            + JSON.stringify(wrong.map(({ id, body }) => ({ id, bytes: body.length, whole: size }))),
    );
    return wrong.length > 0;
});
