/** Runs a case: a temporary folder, a record of what was sent, answered and run, an exit status, and an end of all processes. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import os from "node:os";
import path from "node:path";

export const hasTrouble = process.env.TROUBLE !== "0";
const longestRun = 118_000;

/** `play` gets the case and resolves with the breaches of the rule, as texts. */
export const runCase = async (folder, play) => {
    const lines = [];
    const startedAt = Date.now();
    const scratch = mkdtempSync(path.join(os.tmpdir(), "review-"));
    const closers = [];
    const note = text => lines.push(`${String(Date.now() - startedAt).padStart(6)} ${text}`);
    const finish = async (code, verdict) => {
        note(verdict);
        writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
        console.log(verdict);
        for (const close of closers) {
            await close();
        }
        if (process.env.KEEP === undefined) {
            rmSync(scratch, { recursive: true, force: true });
        }
        else {
            console.log(scratch);
        }
        process.exit(code);
    };
    setTimeout(() => void finish(2, "The case took too long."), longestRun).unref();
    note(hasTrouble ? "With the disruption." : "Without the disruption (TROUBLE=0).");
    try {
        const breaches = await play({ scratch, note, onEnd: close => closers.push(close) });
        breaches.forEach(breach => note(breach));
        await finish(breaches.length > 0 ? 1 : 0, breaches.length > 0 ? `BROKEN: ${breaches[0]}` : "The rule held.");
    }
    catch (error) {
        await finish(2, `The case couldn't run: ${error.stack}`);
    }
};

/** Sends one request as a client does, on a connection of its own; resolves with the answer, also where there is none. */
export const send = (address, { id, method = "GET", host, target, headers = {}, body, deadline = 3_000 }) =>
    new Promise(resolve => {
        const [hostname, port] = address.split(":");
        const request = http.request({
            host: hostname,
            port,
            method,
            path: target,
            agent: false,
            headers: {
                Host: host,
                "Dandelionramp-Request-Id": id,
                "Dandelionramp-Deadline-Ms": String(deadline),
                ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                ...headers,
            },
        }, response => {
            const pieces = [];
            response.on("data", piece => pieces.push(piece));
            response.on("error", () => finish({ status: response.statusCode, cut: true }));
            response.on("end", () =>
                finish({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(pieces).toString("utf8"),
                    cut: !response.complete,
                }));
        });
        const timer = setTimeout(() => {
            request.destroy();
            finish({ status: 0, failure: "no answer until the deadline" });
        }, deadline + 100);
        const finish = answer => {
            clearTimeout(timer);
            resolve({ id, ...answer });
        };
        request.on("error", error => finish({ status: 0, failure: error.code ?? error.message }));
        request.end(body);
    });
