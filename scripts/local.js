// Starts the local fleet, each program in its own process, and stops all of them on SIGINT or SIGTERM.
import { LocalFleet } from "./fleet.js";

const fleet = new LocalFleet();
fleet.startAll();
for (const [name, child] of fleet.children) {
    process.stdout.write(`${name} ${child.pid}\n`);
}
const stop = () => void fleet.stopAll();
process.on("SIGINT", stop);
process.on("SIGTERM", stop);
