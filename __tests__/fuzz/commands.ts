/** The commands that the fuzzer combines: requests, faults and operators' orders. */
import fc from "fast-check";
import { absentVersion, InstanceState, ObjectKind } from "../../src/internal.js";
import { Scene } from "../support/scenario.js";
import { FakeEntry } from "../support/world.js";

/** State that the commands of a run share: the scene, faults that must not coincide, and planned stops. */
export interface FuzzState {
    scene: Scene;
    /**
     * Until when the platform fails. A take-out order can't reach a partitioned peer during a platform failure, so the
     * commands never let the two faults coincide.
     */
    platformFailsUntil: number;
    partitionedUntil: number;
    stops: { entry: FakeEntry; drained: boolean; }[];
}

type FuzzCommand = fc.AsyncCommand<object, FuzzState>;

const now = (): number => performance.now();

class Command implements FuzzCommand {
    constructor(
        private readonly text: string,
        private readonly act: (state: FuzzState) => void | Promise<void>,
    ) {}

    check = (): boolean => true;

    async run(model: object, state: FuzzState): Promise<void> {
        void model;
        await this.act(state);
    }

    toString = (): string => this.text;
}

const acceptingEntries = ({ scene }: FuzzState): FakeEntry[] =>
    scene.world.entries.filter(entry => entry.alive && !entry.stopped && entry.node.isAccepting);

const pick = <Item>(items: readonly Item[], index: number): Item | undefined =>
    items[index % Math.max(1, items.length)];

/** Time for which an isolated entry runs after its freeze, before its connections are restored. */
const isolatedAwakeDurationMilliseconds = 2_500;

/** Undoes a fault after `milliseconds` of fake time. */
const undoLater = (milliseconds: number, undo: () => void): void => {
    const at = now() + milliseconds;
    void (async () => {
        while (now() < at) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        undo();
    })();
};

const generate = (entryIndex: number, tokens: number, answerTokens: number, timeout: number): FuzzCommand =>
    new Command(`generate(${entryIndex}, ${tokens}, ${answerTokens}, ${timeout})`, state => {
        const entry = pick(acceptingEntries(state), entryIndex);
        if (entry) {
            state.scene.callers.generate(entry, { tokens, answerTokens, timeout });
        }
    });

const poison = (entryIndex: number, variant: number): FuzzCommand =>
    new Command(`poison(${entryIndex}, ${variant})`, state => {
        const entry = pick(acceptingEntries(state), entryIndex);
        if (entry) {
            const prompt = `[[crash]] variant ${variant}`.padEnd(400, " x");
            state.scene.callers.generatePrompt(entry, prompt, { tokens: 100, timeout: 8_000 });
        }
    });

const book = (entryIndex: number, key: number | undefined): FuzzCommand =>
    new Command(`book(${entryIndex}, ${key})`, state => {
        const entry = pick(acceptingEntries(state), entryIndex);
        if (entry) {
            state.scene.callers.book(entry, key === undefined ? undefined : `key-${key}`, 6_000);
        }
    });

const kill = (entryIndex: number): FuzzCommand =>
    new Command(`kill(${entryIndex})`, state => {
        const { world } = state.scene;
        const entry = pick(acceptingEntries(state), entryIndex);
        if (!entry || acceptingEntries(state).length < 2) {
            return;
        }
        world.kill(entry);
        undoLater(1_500, () => void world.addEntry(entry.id));
    });

const freeze = (entryIndex: number, milliseconds: number): FuzzCommand =>
    new Command(`freeze(${entryIndex}, ${milliseconds})`, state => {
        const { world } = state.scene;
        const entry = pick(acceptingEntries(state).filter(candidate => !candidate.gate.frozen), entryIndex);
        if (entry) {
            world.freeze(entry);
            undoLater(milliseconds, () => entry.alive && world.thaw(entry));
        }
    });

const stop = (entryIndex: number): FuzzCommand =>
    new Command(`stop(${entryIndex})`, state => {
        const { world } = state.scene;
        const entry = pick(acceptingEntries(state).filter(candidate => !candidate.gate.frozen), entryIndex);
        if (!entry || acceptingEntries(state).length < 2) {
            return;
        }
        const record = { entry, drained: false };
        state.stops.push(record);
        void entry.node.drain().then(() => {
            record.drained = true;
            entry.stopped = true;
            entry.alive = false;
            undoLater(1_000, () => void world.addEntry(entry.id));
        });
    });

const engineFault = (engineIndex: number, fault: string): FuzzCommand =>
    new Command(`engine(${engineIndex}, ${fault})`, state => {
        const engine = state.scene.world.engines[engineIndex]!;
        switch (fault) {
            case "crash":
                void engine.model.crash();
                return;
            case "cold":
                engine.model.fallIntoColdStart();
                return;
            case "silent":
                engine.stallCount++;
                return;
            case "freeze":
                engine.gate.freeze();
                undoLater(4_000, () => engine.gate.thaw());
                return;
            case "loseCancels":
                engine.lostReleases = 10;
                return;
            case "loseAcceptances":
                engine.lostAcceptances = 2;
                return;
            case "repeatFrames":
                engine.repeatsFrames = true;
                return;
            case "leave":
                engine.record.state = InstanceState.Leaving;
                state.scene.world.platform.announce({ ...engine.record });
                undoLater(8_000, () => {
                    engine.record.state = InstanceState.Live;
                    state.scene.world.platform.announce({ ...engine.record });
                });
                return;
        }
    });

const serviceFault = (serviceIndex: number, fault: string): FuzzCommand =>
    new Command(`service(${serviceIndex}, ${fault})`, state => {
        const service = state.scene.world.services[serviceIndex]!;
        switch (fault) {
            case "loseAnswers":
                service.lostAnswers = 2;
                return;
            case "refuse":
                service.refusesConnections = true;
                undoLater(2_000, () => service.refusesConnections = false);
                return;
            case "freeze":
                service.gate.freeze();
                undoLater(3_000, () => service.gate.thaw());
                return;
            case "die":
                service.model.die();
                undoLater(1_500, () => service.model.revive());
                return;
        }
    });

const platformFault = (fault: string, milliseconds: number): FuzzCommand =>
    new Command(`platform(${fault}, ${milliseconds})`, state => {
        const { faults } = state.scene.world.platform;
        if (state.partitionedUntil > now()) {
            return;
        }
        state.platformFailsUntil = Math.max(state.platformFailsUntil, now() + milliseconds + 2_000);
        switch (fault) {
            case "down":
                faults.down = true;
                undoLater(milliseconds, () => faults.down = false);
                return;
            case "slow":
                faults.slowMilliseconds = 3_000;
                undoLater(milliseconds, () => faults.slowMilliseconds = 0);
                return;
            case "loseAnswers":
                faults.lostResponseShare = 0.5;
                undoLater(milliseconds, () => faults.lostResponseShare = 0);
                return;
            case "silentWatches":
                faults.silentWatches = true;
                undoLater(milliseconds, () => faults.silentWatches = false);
                return;
            case "listLag":
                faults.listLagMilliseconds = 3_000;
                undoLater(milliseconds, () => faults.listLagMilliseconds = 500);
                return;
        }
    });

const partition = (firstIndex: number, secondIndex: number, milliseconds: number): FuzzCommand =>
    new Command(`part(${firstIndex}, ${secondIndex}, ${milliseconds})`, state => {
        const { world } = state.scene;
        const [first, second] = [pick(world.entries, firstIndex)!, pick(world.entries, secondIndex)!];
        if (first !== second && state.platformFailsUntil <= now()) {
            state.partitionedUntil = Math.max(state.partitionedUntil, now() + milliseconds + 2_000);
            world.setPartitioned(first.id, second.id, true);
            undoLater(milliseconds, () => world.setPartitioned(first.id, second.id, false));
        }
    });

/** Isolates an entry from its peers and the platform, freezes it, and thaws it before the connections are restored. */
const isolate = (entryIndex: number, milliseconds: number): FuzzCommand =>
    new Command(`isolate(${entryIndex}, ${milliseconds})`, state => {
        const { world } = state.scene;
        const entry = pick(acceptingEntries(state).filter(candidate => !candidate.gate.frozen), entryIndex);
        if (!entry || state.platformFailsUntil > now() || state.partitionedUntil > now()) {
            return;
        }
        const partitionDuration = milliseconds + isolatedAwakeDurationMilliseconds;
        state.partitionedUntil = now() + partitionDuration + 2_000;
        const others = world.entries.filter(candidate => candidate !== entry).map(candidate => candidate.id);
        const setIsolated = (isIsolated: boolean): void => {
            entry.platformCut = isIsolated;
            others.forEach(other => world.setPartitioned(entry.id, other, isIsolated));
        };
        setIsolated(true);
        world.freeze(entry);
        undoLater(milliseconds, () => entry.alive && world.thaw(entry));
        undoLater(partitionDuration, () => setIsolated(false));
    });

const restrict = (entryIndex: number, direction: "out" | "in", dataCentre: string): FuzzCommand =>
    new Command(`restrict(${entryIndex}, ${direction}, ${dataCentre})`, state => {
        const entry = pick(acceptingEntries(state).filter(candidate => !candidate.gate.frozen), entryIndex);
        if (entry) {
            void state.scene.callers.restrict(entry, direction, "dataCentre", dataCentre).catch(() => undefined);
        }
    });

const change = (entryIndex: number, name: string, value: number): FuzzCommand =>
    new Command(`change(${entryIndex}, ${name}, ${value})`, state => {
        const entry = pick(acceptingEntries(state).filter(candidate => !candidate.gate.frozen), entryIndex);
        if (entry) {
            void state.scene.callers.change(entry, name, value);
        }
    });

const removeFromList = (entryIndex: number): FuzzCommand =>
    new Command(`forget(${entryIndex})`, state => {
        // The platform removes a live entry from the instance list, and the entry announces itself again.
        const entry = pick(acceptingEntries(state), entryIndex);
        if (entry) {
            state.scene.world.platform.removeInstance(entry.id);
        }
    });

const foreignWrite = (value: number): FuzzCommand =>
    new Command(`foreignWrite(${value})`, state => {
        // Another client writes to the platform directly.
        const { platform } = state.scene.world;
        const version = platform.read(ObjectKind.Profile, "raced")?.version ?? absentVersion;
        platform.write(ObjectKind.Profile, "raced", version, { shortPromptTokens: value });
    });

const pass = (milliseconds: number): FuzzCommand =>
    new Command(`pass(${milliseconds})`, ({ scene }) => scene.pass(milliseconds));

const index = fc.nat({ max: 5 });
const engineIndex = fc.nat({ max: 3 });
const engineFaults = ["crash", "cold", "silent", "freeze", "loseCancels", "loseAcceptances", "repeatFrames", "leave"];
const serviceFaults = ["loseAnswers", "refuse", "freeze", "die"];
const platformFaults = ["down", "slow", "loseAnswers", "silentWatches", "listLag"];

/** Generates up to `maximum` commands; requests and time steps are the most frequent. */
export const anyCommands = (maximum: number): fc.Arbitrary<Iterable<FuzzCommand>> => {
    const short = fc.tuple(index, fc.integer({ min: 20, max: 400 }), fc.integer({ min: 5, max: 120 }))
        .map(([entry, tokens, answer]) => generate(entry, tokens, answer, 12_000));
    const long = fc.tuple(index, fc.constantFrom(1_500, 3_000, 6_000), fc.integer({ min: 20, max: 190 }))
        .map(([entry, tokens, answer]) => generate(entry, tokens, answer, 20_000));
    const booking = fc.tuple(index, fc.nat({ max: 3 })).map(([entry, key]) => book(entry, key));
    const passing = fc.integer({ min: 1, max: 20 }).map(tenths => pass(tenths * 100));
    return fc.commands([
        short,
        short,
        short,
        long,
        booking,
        booking,
        passing,
        passing,
        passing,
        index.map(entry => book(entry, undefined)),
        fc.tuple(index, fc.nat({ max: 1 })).map(([entry, variant]) => poison(entry, variant)),
        index.map(kill),
        fc.tuple(index, fc.integer({ min: 5, max: 100 })).map(([entry, tenths]) => freeze(entry, tenths * 100)),
        fc.tuple(index, fc.integer({ min: 40, max: 90 })).map(([entry, tenths]) => isolate(entry, tenths * 100)),
        index.map(stop),
        fc.tuple(engineIndex, fc.constantFrom(...engineFaults)).map(([engine, fault]) => engineFault(engine, fault)),
        fc.tuple(engineIndex, fc.constantFrom(...engineFaults)).map(([engine, fault]) => engineFault(engine, fault)),
        fc.tuple(fc.nat({ max: 1 }), fc.constantFrom(...serviceFaults)).map(([service, fault]) =>
            serviceFault(service, fault)
        ),
        fc.tuple(fc.constantFrom(...platformFaults), fc.integer({ min: 5, max: 150 }))
            .map(([fault, tenths]) => platformFault(fault, tenths * 100)),
        fc.tuple(index, index, fc.integer({ min: 5, max: 80 })).map(([first, second, tenths]) =>
            partition(first, second, tenths * 100)
        ),
        fc.tuple(index, fc.constantFrom("out" as const, "in" as const), fc.constantFrom("north", "east"))
            .map(([entry, direction, dataCentre]) => restrict(entry, direction, dataCentre)),
        fc.tuple(index, fc.constantFrom("raced", "models"), fc.integer({ min: 300, max: 900 }))
            .map(([entry, name, value]) => change(entry, name, value)),
        fc.tuple(index, fc.constantFrom("north", "east")).map(([entry, dataCentre]) =>
            restrict(entry, "out", dataCentre)
        ),
        index.map(removeFromList),
        fc.integer({ min: 300, max: 900 }).map(foreignWrite),
    ], { maxCommands: maximum, size: "max" });
};
