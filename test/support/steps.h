// Random interleavings as a RapidCheck state machine: each command performs one numbered step on a world of several
// nodes, then checks the world's invariants. Shrinking removes the steps that a failure does not need.
#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

namespace waxwinglug::test {

struct NoModel { };

// A number below the bound, each equally likely. inRange alone depends on the test size: the last of 13 kinds of steps
// was 40 times rarer than the first.
inline rc::Gen<int> uniformBelow(int bound) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound)); }

// World::step(kind, node, pick) performs a step, World::check() asserts the invariants with RC_ASSERT, and
// World::stepKindCount and World::nodeCount bound the numbers.
template <typename World> struct Step : rc::state::Command<NoModel, World> {
    int kind = *uniformBelow(World::stepKindCount);
    int node = *uniformBelow(World::nodeCount);
    unsigned pick = static_cast<unsigned>(*uniformBelow(1000));

    void run(const NoModel&, World& world) const override
    {
        world.step(this->kind, this->node, this->pick);
        world.check();
    }

    void show(std::ostream& out) const override
    {
        out << "step(" << this->kind << ", " << this->node << ", " << this->pick << ")";
    }
};

template <typename World> void checkSteps()
{
    // Sequences of 200 steps on average; with the default length of 25, rare combinations did not occur.
    constexpr double lengthFactor = 4;
    World world;
    const auto commands = *rc::gen::scale(
        lengthFactor, rc::state::gen::commands(NoModel {}, rc::state::gen::execOneOfWithArgs<Step<World>>()));
    rc::state::runAll(commands, NoModel {}, world);
    world.finish();
}

} // namespace waxwinglug::test
